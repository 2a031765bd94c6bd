/** Bits of one base-64 digit of a compact load. */
const digitBits = 6;

/** Base-64 digits of each field of a compact load, in wire order, and the bits of one digit. */
export const loadFieldWidths = {
	digitBits,
	handle: 5,
	sequence: 4,
	running: 2,
	queued: 2,
	heardAge: 1,
	loadAge: 1,
	/** Milliseconds that one step of an age stands for. */
	ageStepMs: 100,
} as const;
