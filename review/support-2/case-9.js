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
/** Time for which is watched whether anybody gets an answer: longer than the 60 s after which a server might close such a channel. */
const watchedMs = 70_000;
const pauseMs = 1000;
/** A requester allows one second for an answer of the directory. */
const patienceMs = 1000;
const requesters = 7;

await runCase(9, {
	descriptors,
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		await deployment.start({configuration: configuration(1), engines: smallEngines(answerAtOnce)});
		const clients = [];
		if (hasTrouble) {
			for (const {host, directoryPort} of deployment.controls) {
				for (let index = 0; index < clientProcesses; index++) {
					const program = fileURLToPath(new URL('idle-client.js', import.meta.url));
					clients.push(spawn('node', [program, host, String(directoryPort), String(channels / clientProcesses)], {stdio: 'ignore'}));
				}
			}

			record.add(`${channels} channels are opened to the directory of each of the ${deployment.controls.length} machines; nothing is sent on them`);
		}

		await sleep(openingMs);
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
		let version = 1;
		for (const end = performance.now() + watchedMs; performance.now() < end;) {
			const answers = await Promise.all(Array.from({length: requesters}, async (_, index) => resolve(index))); // eslint-disable-line no-await-in-loop
			const resolved = answers.filter(Boolean).length;
			version += 1;
			const {status: ack} = await deployment.putConfiguration(configuration(version)); // eslint-disable-line no-await-in-loop
			const {host, port} = deployment.entries[version % deployment.entries.length];
			const {status} = await call({ // eslint-disable-line no-await-in-loop
				host, port, method: 'POST', path: '/pule252/2f', body: 'order', headers: {Host: 'ficu95.example', 'Request-Identifier': randomHex(8), 'Deadline-Milliseconds': '3000'},
			});
			totals.resolved += resolved;
			totals.unresolved += requesters - resolved;
			totals[ack === 200 ? 'acknowledged' : 'unacknowledged'] += 1;
			orders[status] = (orders[status] ?? 0) + 1;
			record.add(`${resolved} of ${requesters} requesters get addresses; configuration ${version}: ${ack === 200 ? 'acknowledged' : 'no answer at any machine'}; an order at an entry: ${status}`);
			await sleep(pauseMs); // eslint-disable-line no-await-in-loop
		}

		for (const client of clients) {
			client.kill('SIGKILL');
		}

		record.add(`${JSON.stringify(totals)}, orders by status ${JSON.stringify(orders)}; processes that run: ${[...deployment.controls, ...deployment.entries].filter(({child}) => child !== undefined).length}`);
		return totals.resolved === 0 && totals.acknowledged === 0
			? [`for ${watchedMs / 1000} s no requester got an answer of the directory, and the operator none at any machine, though all processes ran`]
			: [];
	},
});
