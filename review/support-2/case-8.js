import http from 'node:http';
import {answerAtOnce} from './answer-at-once.js';
import {call} from './call.js';
import {configuration} from './configuration.js';
import {randomHex} from './random-hex.js';
import {runCase} from './run-case.js';
import {sendSteadily} from './send-steadily.js';
import {smallEngines} from './small-engines.js';

const perSecond = 800;
const seconds = 60;
/** Within `max-header-bytes`, 16,384, together with the other headers. */
const longIdBytes = 7500;
const shortIdBytes = 8;
const reportMs = 5000;
/** Share of the streams that must have been answered for a run without a break to count. */
const minimumShare = 0.9;

await runCase(8, {
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		await deployment.start({configuration: configuration(1), engines: smallEngines(answerAtOnce)});
		const entries = deployment.entries.filter(({zone}) => zone === 'muscat-a');
		const agent = new http.Agent({keepAlive: true, maxSockets: 32});
		const statuses = {};
		const send = async number => {
			const {host, port} = entries[number % entries.length];
			const {status} = await call({
				host, port, agent, method: 'POST', path: '/lohu930/2f', body: 'draft', headers: {
					Host: 'ficu95.example',
					'Request-Identifier': randomHex(hasTrouble ? longIdBytes : shortIdBytes),
					'Deadline-Milliseconds': '12000',
					Model: 'm',
					'Token-Counts': '1460,8',
					'Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
				},
			});
			statuses[status] = (statuses[status] ?? 0) + 1;
		};

		const machines = [...deployment.controls, ...deployment.entries];
		const report = async () => {
			const sizes = await Promise.all(machines.map(async machine => {
				const {nowMb} = await deployment.memoryOf(machine);
				return `${machine.name} ${nowMb}`;
			}));
			record.add(`answers by status ${JSON.stringify(statuses)}; MB resident: ${sizes.join(', ')}`);
		};

		const timer = setInterval(report, reportMs);
		const endsOf = role => machines.filter(({name, ends}) => name.startsWith(role) && ends.length > 0);
		const sent = await sendSteadily({
			perSecond, seconds, send, isDone: () => endsOf('control').length > 0,
		});
		clearInterval(timer);
		await report();
		const ended = machines.filter(({ends}) => ends.length > 0);
		if (ended.length === 0 && (statuses[200] ?? 0) < minimumShare * perSecond * seconds) {
			throw new Error('this machine can\'t send so many streams');
		}

		record.add(`${sent} streams sent, ${perSecond} a second, to the ${entries.length} entries of one region`);
		return machines.flatMap(({name, ends}) => ends.map(({signal, reason}) => `${name} ended by itself (${signal}): ${reason}`));
	},
});
