import {setTimeout as sleep} from 'node:timers/promises';
import {answerAtOnce} from './answer-at-once.js';
import {call} from './call.js';
import {configuration} from './configuration.js';
import {randomHex} from './random-hex.js';
import {runCase} from './run-case.js';

const streams = 8;
/** Requests before, which open channels to the engines, and of which the retry budget allows a share. */
const ordinary = 80;
const events = 20;
const eventMs = 150;
/** Event after which the second engine crashes. */
const crashAfter = 6;
/** Time for which the first engine is down, and until its first liveness report: heartbeat-interval-ms is 1,200. */
const downMs = 50;
const reportAfterMs = 1100;
/** Most streams that may hold events of two versions. */
const allowed = 2;
const region = 'sohar-a';
const writers = {'muscat-a': 4, 'sohar-a': 2, 'salalah-a': 1};

await runCase(10, {
	entryZones: ['muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		const runStream = async (req, res, body, engine) => {
			if (!req.headers['request-identifier'].startsWith('stream')) {
				answerAtOnce(req, res, body, engine);
				return;
			}

			const after = Number(req.headers['last-event-id'] ?? 0);
			const {version} = engine;
			record.add(`${engine.id}, software ${version}, runs ${req.headers['request-identifier']} after event ${after}`);
			res.writeHead(200, {...engine.answerHeaders(req), 'Content-Type': 'text/event-stream'});
			for (let event = after + 1; event <= events && !res.destroyed; event++) {
				res.write(`id: ${event}\ndata: piece ${event} of ${version}\n\n`);
				await sleep(eventMs); // eslint-disable-line no-await-in-loop
			}

			res.end();
		};

		const engines = [
			...Object.entries(writers).flatMap(([zone, count]) => Array.from({length: count}, () => ({
				service: 'writers', zone, slots: 64, run: runStream,
			}))),
			{
				service: 'desk', zone: region, slots: 6, run: answerAtOnce,
			},
		];
		await deployment.start({configuration: configuration(1), engines});
		const entry = deployment.entries.find(({zone}) => zone === region);
		const [restarted, crashing] = deployment.engines.filter(({zone}) => zone === region);
		const send = async (id, part) => call({
			host: entry.host, port: entry.port, method: 'POST', path: '/lohu930/2f', body: 'draft', timeoutMs: 15_000, headers: {
				Host: 'ficu95.example', 'Request-Identifier': id, 'Deadline-Milliseconds': '12000', Model: 'm', 'Token-Counts': '1460,160', 'Prompt-Prefix': `${part}:1210,${randomHex(4)}:250`,
			},
		});
		// Ordinary requests open channels to both engines of the region, and show which parts of prompts lead to the second one.
		const parts = new Set();
		for (let tries = 0; tries < 200 && (parts.size < streams || tries < ordinary); tries++) {
			const part = randomHex(4);
			const before = crashing.arrivals.length;
			await send(randomHex(8), part); // eslint-disable-line no-await-in-loop
			if (crashing.arrivals.length > before && parts.size < streams) {
				parts.add(part);
			}
		}

		record.add(`${restarted.id} has got ${restarted.arrivals.length} requests, ${crashing.id} ${crashing.arrivals.length}`);
		const calls = [...parts].map(async (part, index) => send(`stream-${index}`, part));
		await sleep((crashAfter * eventMs) - 400);
		if (hasTrouble) {
			await restarted.end();
			await sleep(downMs);
			await restarted.startAgain({version: 'v2', reportAfterMs});
			record.add(`${restarted.id}, which runs nothing, ends and starts again with software v2; its first liveness report follows ${reportAfterMs} ms later`);
			await sleep(400 - downMs);
			record.add(`${crashing.id} crashes`);
			await crashing.end();
		}

		let mixed = 0;
		const answers = await Promise.all(calls);
		for (const [index, {status, text}] of answers.entries()) {
			const versions = [...new Set([...text.matchAll(/ of (v\d)$/gmv)].map(match => match[1]))];
			mixed += versions.length > 1 ? 1 : 0;
			record.add(`stream-${index} is answered with ${status} and ${text.split('\n\n').length - 1} events of ${versions.join(' and ')}`);
		}

		return mixed > allowed ? [`${mixed} streams hold events of engines of two software versions in one answer`] : [];
	},
});
