import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {answerAtOnce} from './answer-at-once.js';
import {call} from './call.js';
import {configuration} from './configuration.js';
import {HoldingProxy} from './holding-proxy.js';
import {randomHex} from './random-hex.js';
import {runCase} from './run-case.js';
import {sendSteadily} from './send-steadily.js';
import {smallEngines} from './small-engines.js';

const zone = 'muscat-a';
const path = `/evacuations/${zone}`;
/** As the sheet of Bustan has it: `evacuation-ms`. */
const boundMs = 5000;
/** The operator moves on after a second without a response. */
const patienceMs = 1000;
/** Time for which the path between the operator and one machine is cut: within `acknowledge-ms`, 6,000, and the 5.5 s of a cut in the site file. */
const cutMs = 4500;
const betweenOrdersMs = 700;
const watchedSeconds = 6;
const perSecond = 20;

await runCase(6, {
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		const arrivals = [];
		const run = (req, res, body, engine) => {
			arrivals.push({engine: engine.id, zone: engine.zone, at: performance.now()});
			answerAtOnce(req, res, body, engine);
		};

		await deployment.start({configuration: configuration(1), engines: smallEngines(run)});
		const [first, second] = deployment.controls;
		const proxy = new HoldingProxy(first);
		// The operator keeps its channel to the first machine open.
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		let ways = [
			{
				name: first.name, host: first.host, port: await proxy.listen(first.host), agent,
			},
			{name: second.name, host: second.host, port: second.port},
		];
		/** Sends an order to the first machine; after a second without a response, sends it and the later ones to the next machine. */
		const order = async method => {
			for (const {name, ...way} of ways) {
				record.add(`${method} ${path} to ${name}`);
				const {status} = await call({ // eslint-disable-line no-await-in-loop
					...way, method, path, timeoutMs: patienceMs,
				});
				record.add(status === 0 ? 'no response' : `answer ${status}`);
				if (status === 200) {
					return performance.now();
				}

				ways = ways.filter(other => other.name !== name);
			}

			throw new Error(`${method} ${path} was not acknowledged`);
		};

		await order('POST');
		await sleep(betweenOrdersMs);
		const cutAt = performance.now();
		if (hasTrouble) {
			proxy.hold();
			record.add(`the path between the operator and ${first.name} is cut for ${cutMs} ms`);
		}

		await order('DELETE');
		await sleep(betweenOrdersMs);
		const acknowledgedAt = await order('POST');
		record.add('the last order of the operator, an evacuation, is acknowledged');
		await sleep(cutMs - (performance.now() - cutAt));
		record.add(`the path is whole; what arrives late at ${first.name}: ${proxy.release().join(', ') || 'nothing'}`);
		await sleep(boundMs - (performance.now() - acknowledgedAt));
		const watchedFrom = performance.now();
		const statuses = {};
		const sent = await sendSteadily({
			perSecond, seconds: watchedSeconds, isDone: () => false, async send(number) {
				const {host, port} = deployment.entries[number % deployment.entries.length];
				const {status} = await call({
					host, port, method: 'POST', path: '/pule252/2f', body: 'order', headers: {Host: 'ficu95.example', 'Request-Identifier': randomHex(8), 'Deadline-Milliseconds': '3000'},
				});
				statuses[status] = (statuses[status] ?? 0) + 1;
			},
		});
		await sleep(patienceMs);
		proxy.close();
		const late = arrivals.filter(arrival => arrival.zone === zone && arrival.at > watchedFrom);
		record.add(`${sent} requests sent from ${boundMs} ms after the ack on: answers by status ${JSON.stringify(statuses)}; ${late.length} reached engines in ${zone}`);
		return late.length > 0 ? [`${late.length} requests reached engines in ${zone} later than ${boundMs} ms after its evacuation was acknowledged, which was not taken back since`] : [];
	},
});
