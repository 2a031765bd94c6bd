import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

const stepMs = 10;

/** Calls `send` `perSecond` times a second for `seconds`, or until `isDone` is true, without waiting for the answers. Resolves with the number of calls. */
export async function sendSteadily({perSecond, seconds, send, isDone}) {
	const startedAt = performance.now();
	let sent = 0;
	while (performance.now() - startedAt < seconds * 1000 && !isDone()) {
		const due = Math.floor((performance.now() - startedAt) / 1000 * perSecond);
		while (sent < due) {
			sent += 1;
			send(sent);
		}

		await sleep(stepMs); // eslint-disable-line no-await-in-loop
	}

	return sent;
}
