import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {answerAtOnce} from './answer-at-once.js';
import {call} from './call.js';
import {configuration} from './configuration.js';
import {randomHex} from './random-hex.js';
import {runCase} from './run-case.js';
import {sendSteadily} from './send-steadily.js';
import {smallEngines} from './small-engines.js';

const perSecond = 80;
const seconds = 75;
/** Parts of a prompt, of one token each: 11 bytes of the header for each, 14,300 of the 16,384 that `max-header-bytes` allows. */
const parts = 1300;
const partIdBytes = 4;
const reportMs = 5000;
/** Ordinary callers, each with one order after the other on a channel that it keeps, and the time that an order takes. */
const callers = 24;
const workMs = 800;
const pauseMs = 200;
/** Most requests that may be lost. */
const allowed = 3;

function promptOfSmallParts() {
	return Array.from({length: parts}, () => `${randomHex(partIdBytes)}:1`).join(',');
}

await runCase(7, {
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		const passedOn = new Set();
		const run = async (req, res, body, engine) => {
			if (req.headers['token-counts'] === undefined) {
				passedOn.add(req.headers['request-identifier']);
				await sleep(workMs);
			}

			answerAtOnce(req, res, body, engine);
		};

		await deployment.start({configuration: configuration(1), engines: smallEngines(run)});
		const [entry] = deployment.entries;
		const orders = [];
		const makeOrders = async () => {
			const keptAgent = new http.Agent({keepAlive: true, maxSockets: 1});
			while (entry.ends.length === 0 && !progress.isOver) {
				const id = randomHex(8);
				const answer = await call({ // eslint-disable-line no-await-in-loop
					host: entry.host, port: entry.port, agent: keptAgent, method: 'POST', path: '/pule252/2f', body: 'order', headers: {Host: 'ficu95.example', 'Request-Identifier': id, 'Deadline-Milliseconds': '3000'},
				});
				orders.push({id, ...answer});
				if (answer.status !== 200) {
					await sleep(pauseMs); // eslint-disable-line no-await-in-loop
				}
			}

			keptAgent.destroy();
		};

		const progress = {isOver: false};
		const agent = new http.Agent({keepAlive: true, maxSockets: 32});
		const statuses = {};
		const send = async () => {
			const {status} = await call({
				host: entry.host, port: entry.port, agent, method: 'POST', path: '/lohu930/2f', body: 'draft', headers: {
					Host: 'ficu95.example',
					'Request-Identifier': randomHex(8),
					'Deadline-Milliseconds': '12000',
					Model: 'm',
					'Token-Counts': `${parts},8`,
					'Prompt-Prefix': hasTrouble ? promptOfSmallParts() : `5c1e07a2:${parts - 250},${randomHex(partIdBytes)}:250`,
				},
			});
			statuses[status] = (statuses[status] ?? 0) + 1;
		};

		const report = async () => {
			const {nowMb} = await deployment.memoryOf(entry);
			record.add(`answers by status ${JSON.stringify(statuses)}; ${entry.name} has ${nowMb} MB resident`);
		};

		const timer = setInterval(report, reportMs);
		const callersDone = Array.from({length: callers}, async () => makeOrders());
		const sent = await sendSteadily({
			perSecond, seconds, send, isDone: () => entry.ends.length > 0,
		});
		clearInterval(timer);
		await report();
		progress.isOver = true;
		await Promise.all(callersDone);
		record.add(`${sent} streams sent to ${entry.name}, ${perSecond} a second`);
		const lost = orders.filter(({id, status, error, isKept}) => status === 0 && error === 'ECONNRESET' && isKept && passedOn.has(id));
		record.add(`${orders.length} orders, ${orders.filter(({status}) => status === 200).length} answered with 200; ${lost.length} were passed on to a sound engine and their kept channels closed without an answer`);
		return lost.length > allowed ? [`${lost.length} orders lost (at most ${allowed}) as ${entry.name} ended by itself`] : [];
	},
});
