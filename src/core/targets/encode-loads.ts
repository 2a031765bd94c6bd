import {loadFieldWidths as widths} from './load-field-widths.ts';
import type {LoadUpdate} from './load-update.ts';

const digits = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';

/** Encodes each load in 15 base-64 characters, so that a region's digests stay within a node's byte budget for control traffic. */
export function encodeLoads(loads: readonly LoadUpdate[]): string {
	return loads.map(load => encodeLoad(load)).join('');
}

function encodeLoad(load: LoadUpdate): string {
	return encodeField(load.handle, widths.handle)
		+ encodeField(load.sequence, widths.sequence)
		+ encodeField(load.running, widths.running)
		+ encodeField(load.queued, widths.queued)
		+ encodeField(Math.ceil(load.heardAgeMs / widths.ageStepMs), widths.heardAge)
		+ encodeField(Math.ceil(load.loadAgeMs / widths.ageStepMs), widths.loadAge);
}

function encodeField(value: number, width: number): string {
	const largest = (2 ** (widths.digitBits * width)) - 1;
	let rest = Math.max(0, Math.min(largest, Math.round(value)));
	let text = '';
	for (let index = 0; index < width; index++) {
		text = digits.charAt(rest & 0x3F) + text;
		rest = Math.floor(rest / 64);
	}

	return text;
}
