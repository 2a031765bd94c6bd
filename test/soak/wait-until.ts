import {setTimeout as sleep} from 'node:timers/promises';

const pollMs = 100;

/** Polls a condition until it holds; false if it does not hold within `timeoutMs`. */
export async function waitUntil(condition: () => Promise<boolean> | boolean, timeoutMs: number): Promise<boolean> {
	for (let waited = 0; waited < timeoutMs; waited += pollMs) {
		if (await condition()) { // eslint-disable-line no-await-in-loop
			return true;
		}

		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}

	return false;
}
