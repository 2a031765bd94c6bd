import http from 'node:http';
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

function promptOfSmallParts() {
	return Array.from({length: parts}, () => `${randomHex(partIdBytes)}:1`).join(',');
}

await runCase(7, {
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		await deployment.start({configuration: configuration(1), engines: smallEngines(answerAtOnce)});
		const [entry] = deployment.entries;
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
		const sent = await sendSteadily({
			perSecond, seconds, send, isDone: () => entry.ends.length > 0,
		});
		clearInterval(timer);
		await report();
		record.add(`${sent} streams sent to ${entry.name}, ${perSecond} a second`);
		return entry.ends.map(({signal, reason}) => `${entry.name} ended by itself (${signal}): ${reason}`);
	},
});
