import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {answerAtOnce} from './answer-at-once.js';
import {call} from './call.js';
import {configuration} from './configuration.js';
import {runCase} from './run-case.js';
import {smallEngines} from './small-engines.js';

/** Time for which the rule lets the engine before work on, once the request goes on at another one, in milliseconds. */
const boundMs = 400;
const streams = 4;
const events = 14;
/** Event before which the first engine pauses. */
const pausedEvent = 9;
const pauseMs = 4000;
/** Time between two events before the pause, and after it or at the engine at which the stream goes on, in milliseconds: within `target-gap-ms`, 600. */
const fastMs = 50;
const slowMs = 550;

await runCase(10, {
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		const runs = [];
		/** An event holds 8 tokens. The head is sent with the first token, at which the run starts; the first event follows once its tokens are made. */
		const runStream = async (req, res, body, engine) => {
			if (req.headers['token-counts'] === undefined) {
				answerAtOnce(req, res, body, engine);
				return;
			}

			const id = req.headers['request-identifier'];
			const after = Number(req.headers['last-event-id'] ?? 0);
			const run = {
				id, engine: engine.id, after, startedAt: performance.now(), endedAt: undefined,
			};
			runs.push(run);
			record.add(`${engine.id} starts to run ${id} after event ${after}`);
			res.on('close', () => {
				run.endedAt = performance.now();
				record.add(`${engine.id} ends its run of ${id}: ${res.writableFinished ? 'complete' : 'its connection was closed'}`);
			});
			res.writeHead(200, {...engine.answerHeaders(req), 'Content-Type': 'text/event-stream'}).flushHeaders();
			for (let event = after + 1; event <= events; event++) {
				if (hasTrouble && after === 0 && event === pausedEvent) {
					record.add(`${engine.id} preempts ${id} and reads it in again, for ${pauseMs} ms`);
					await sleep(pauseMs); // eslint-disable-line no-await-in-loop
				}

				await sleep(after === 0 && event <= pausedEvent ? fastMs : slowMs); // eslint-disable-line no-await-in-loop
				if (res.destroyed) {
					return;
				}

				res.write(`id: ${event}\ndata: piece ${event}\n\n`);
			}

			res.end();
		};

		await deployment.start({configuration: configuration(1), engines: smallEngines(runStream)});
		const {host, port} = deployment.entries[0];
		const answers = await Promise.all(Array.from({length: streams}, async (_, index) => call({
			host, port, method: 'POST', path: '/lohu930/2f', body: 'draft', timeoutMs: 15_000, headers: {
				Host: 'ficu95.example',
				'Request-Identifier': `stream-${index}`,
				'Deadline-Milliseconds': '12000',
				Model: 'm',
				'Token-Counts': '1460,112',
				'Prompt-Prefix': `5c1e07a2:800,91bd3f06:410,${index}e4402b7:250`,
			},
		})));
		for (const [index, {status, text}] of answers.entries()) {
			const ids = [...text.matchAll(/^id: (\d+)$/gmv)].map(match => match[1]);
			record.add(`stream-${index} is answered with ${status} and events ${ids.join(' ')}`);
		}

		await sleep(boundMs);
		return runs.flatMap(next => runs
			.filter(before => before.id === next.id && before.engine !== next.engine && before.startedAt < next.startedAt && next.after > 0)
			.map(before => ({before, overlapMs: Math.round((before.endedAt ?? performance.now()) - next.startedAt)}))
			.filter(({overlapMs}) => overlapMs > boundMs)
			.map(({before, overlapMs}) => `${next.id} went on at ${next.engine} while ${before.engine} still worked on it for ${overlapMs} ms`));
	},
});
