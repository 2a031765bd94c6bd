import {spawn} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {answerAtOnce} from './answer-at-once.js';
import {call} from './call.js';
import {configuration} from './configuration.js';
import {randomHex} from './random-hex.js';
import {runCase} from './run-case.js';
import {smallEngines} from './small-engines.js';

/** As the sheet of Bustan has it for a machine of the core. */
const descriptors = 4096;
/** Channels that requesters open to the directory of each machine, over some processes. */
const channels = 4100;
const clientProcesses = 5;
const openingMs = 6000;
/** Time for which is watched whether anybody gets an answer; the bound is `acknowledge-ms`, 6,000. */
const watchedMs = 20_000;
const acknowledgeMs = 6000;
const pauseMs = 1000;
/** Descriptors by which a process may be short of its limit while it takes no channel. */
const spareDescriptors = 16;
/** A requester allows one second for an answer of the directory. */
const patienceMs = 1000;
const requesters = 7;

await runCase(9, {
	descriptors,
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		await deployment.start({configuration: configuration(1), engines: smallEngines(answerAtOnce)});
		if (hasTrouble) {
			for (const {host, directoryPort} of deployment.controls) {
				for (let index = 0; index < clientProcesses; index++) {
					const program = fileURLToPath(new URL('idle-client.js', import.meta.url));
					deployment.helpers.push(spawn('node', [program, host, String(directoryPort), String(channels / clientProcesses)], {stdio: 'ignore'}));
				}
			}

			record.add(`${channels} channels are opened to the directory of each of the ${deployment.controls.length} machines; nothing is sent on them`);
		}

		await sleep(openingMs);
		const counts = await Promise.all(deployment.controls.map(async machine => deployment.descriptorsOf(machine)));
		record.add(`descriptors open in the control processes: ${counts.join(', ')}`);
		if (hasTrouble && counts.some(count => count < descriptors - spareDescriptors)) {
			throw new Error('the channels could not be opened');
		}

		// Each requester tries three machines, as the pages say.
		const resolve = async first => {
			for (let index = 0; index < 3; index++) {
				const {host, directoryPort} = deployment.controls[(first + index) % deployment.controls.length];
				const {status} = await call({ // eslint-disable-line no-await-in-loop
					host, port: directoryPort, path: '/resolve?name=ficu95.example&region=muscat&zone=muscat-a', timeoutMs: patienceMs,
				});
				if (status === 200) {
					return true;
				}
			}

			return false;
		};

		const totals = {
			resolved: 0, unresolved: 0, acknowledged: 0, unacknowledged: 0,
		};
		const orders = {};
		let version = 2;
		let tries = 0;
		let orderedAt = performance.now();
		let longestMs = 0;
		for (const end = performance.now() + watchedMs; performance.now() < end;) {
			const answers = await Promise.all(Array.from({length: requesters}, async (_, index) => resolve(index))); // eslint-disable-line no-await-in-loop
			const resolved = answers.filter(Boolean).length;
			// The same order is sent again, to any machine, until it is acknowledged.
			const {status: ack} = await deployment.putConfiguration(configuration(version)); // eslint-disable-line no-await-in-loop
			tries += 1;
			longestMs = Math.max(longestMs, performance.now() - orderedAt);
			const {host, port} = deployment.entries[tries % deployment.entries.length];
			const {status} = await call({ // eslint-disable-line no-await-in-loop
				host, port, method: 'POST', path: '/pule252/2f', body: 'order', headers: {Host: 'ficu95.example', 'Request-Identifier': randomHex(8), 'Deadline-Milliseconds': '3000'},
			});
			totals.resolved += resolved;
			totals.unresolved += requesters - resolved;
			totals[ack === 200 ? 'acknowledged' : 'unacknowledged'] += 1;
			orders[status] = (orders[status] ?? 0) + 1;
			record.add(`${resolved} of ${requesters} requesters get addresses; configuration ${version}: ${ack === 200 ? 'acknowledged' : 'no answer at any machine'}; an order at an entry: ${status}`);
			if (ack === 200) {
				version += 1;
				orderedAt = performance.now() + pauseMs;
			}

			await sleep(pauseMs); // eslint-disable-line no-await-in-loop
		}

		record.add(`${JSON.stringify(totals)}, orders by status ${JSON.stringify(orders)}; processes that run: ${[...deployment.controls, ...deployment.entries].filter(({child}) => child !== undefined).length}`);
		return longestMs > acknowledgeMs
			? [`configuration ${version} had no ack in ${Math.round(longestMs)} ms at any machine, with a stable core and no link disrupted; ${totals.resolved} of ${totals.resolved + totals.unresolved} requests to the directory were answered`]
			: [];
	},
});
