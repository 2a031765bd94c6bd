/** Bits in one base-64 digit of a compact load. */
const digitBits = 6;

/** Number of base-64 digits of each field of a compact load, in wire order, with the bits of one digit and the unit of ages. */
export const loadFieldWidths = {
	digitBits,
	handle: 5,
	sequence: 4,
	running: 2,
	queued: 2,
	heardAge: 1,
	loadAge: 1,
	/** Unit of the age fields, in milliseconds. */
	ageStepMs: 100,
} as const;
