import {loadFieldWidths as widths} from './load-field-widths.ts';
import type {LoadUpdate} from './load-update.ts';

const recordLength = widths.handle + widths.sequence + widths.running + widths.queued + widths.heardAge + widths.loadAge;

/** Decodes the output of `encodeLoads`; an incomplete last record is dropped. */
export function decodeLoads(text: string): readonly LoadUpdate[] {
	const loads: LoadUpdate[] = [];
	for (let start = 0; start + recordLength <= text.length; start += recordLength) {
		loads.push(decodeLoad(text, start));
	}

	return loads;
}

function decodeLoad(text: string, start: number): LoadUpdate {
	let at = start;
	const field = (width: number): number => {
		const value = decodeField(text, at, width);
		at += width;
		return value;
	};

	return {
		handle: field(widths.handle),
		sequence: field(widths.sequence),
		running: field(widths.running),
		queued: field(widths.queued),
		heardAgeMs: field(widths.heardAge) * widths.ageStepMs,
		loadAgeMs: field(widths.loadAge) * widths.ageStepMs,
	};
}

function decodeField(text: string, start: number, width: number): number {
	let value = 0;
	for (let index = start; index < start + width; index++) {
		value = (value * 64) + decodeDigit(text.codePointAt(index)!);
	}

	return value;
}

/** Value of a base-64 digit; the digits are A–Z, a–z, 0–9, hyphen, underscore. */
function decodeDigit(code: number): number {
	if (code >= 97) {
		return code - 97 + 26;
	}

	if (code === 95) {
		return 63;
	}

	if (code >= 65) {
		return code - 65;
	}

	return code === 45 ? 62 : code - 48 + 52;
}
