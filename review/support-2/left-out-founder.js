import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {configuration} from './configuration.js';
import {runCase} from './run-case.js';

/** Time from the start of all machines to the loss, and from the loss to the restarts, in milliseconds. */
const lossAtMs = 600;
const downMs = 1000;
/** `stability-window-ms` and `acknowledge-ms`, in milliseconds; the operator is watched for longer than both. */
const stableMs = 5000;
const acknowledgeMs = 6000;
const watchedMs = 40_000;
const backOffMs = 500;

await runCase(11, {
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		deployment.launchAll();
		record.add('all machines start for the first time');
		await sleep(lossAtMs);
		const lost = deployment.controls.filter(({name}) => ['control-1', 'control-3'].includes(name));
		if (hasTrouble) {
			await Promise.all(lost.map(async machine => deployment.kill(machine)));
			for (const machine of lost) {
				deployment.loseDisk(machine);
				record.add(`${machine.name}, a seed, loses power and its disk`);
			}

			await sleep(downMs);
			for (const machine of lost) {
				deployment.launch(machine);
				record.add(`${machine.name} starts again at its old address with an empty disk, bootstrap false`);
			}
		}

		const stableAt = performance.now() + stableMs;
		let tries = 0;
		let acknowledged = false;
		while (!acknowledged && performance.now() < stableAt + watchedMs) {
			const {status} = await deployment.putConfiguration(configuration(1)); // eslint-disable-line no-await-in-loop
			tries += 1;
			acknowledged = status === 200;
			await sleep(backOffMs); // eslint-disable-line no-await-in-loop
		}

		const running = deployment.controls.filter(({child}) => child !== undefined).length;
		record.add(`${tries} tries at up to five machines each; ${acknowledged ? 'acknowledged' : 'no ack'}; ${running} control processes run`);
		return acknowledged && performance.now() < stableAt + acknowledgeMs
			? []
			: [`the first configuration had no ack in ${watchedMs / 1000} s of a stable core with no link disrupted`];
	},
});
