import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {configuration} from './configuration.js';
import {randomHex} from './random-hex.js';
import {runCase} from './run-case.js';
import {smallEngines} from './small-engines.js';

/** Requesters, each with one stream on a channel of its own. */
const requesters = 1500;
const openedAtOnce = 20;
const pauseMs = 40;
/** Lines of each head, of 9 bytes: with the others within `max-header-bytes`, 16,384. */
const headerLines = 1400;
const events = 20;
const eventMs = 500;
const watchedMs = 14_000;
const reportMs = 2000;

const manyLines = Array.from({length: headerLines}, (_, index) => `h${index.toString(36).padStart(3, '0')}: 1\r\n`).join('');

await runCase(11, {
	entryZones: ['muscat-a', 'muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a', 'salalah-a'],
	async play({deployment, record, hasTrouble}) {
		let running = 0;
		const run = async (req, res, body, engine) => {
			running += 1;
			res.on('close', () => {
				running -= 1;
			});
			res.writeHead(200, {...engine.answerHeaders(req), 'Content-Type': 'text/event-stream'});
			for (let event = 1; event <= events && !res.destroyed; event++) {
				res.write(`id: ${event}\ndata: piece ${event}\n\n`);
				await sleep(eventMs); // eslint-disable-line no-await-in-loop
			}

			res.end();
		};

		await deployment.start({configuration: configuration(1), engines: smallEngines(run)});
		const [entry] = deployment.entries;
		const statuses = {};
		const sockets = [];
		const open = () => {
			const id = randomHex(8);
			const socket = net.connect(entry.port, entry.host);
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.once('data', bytes => {
				const status = bytes.toString('latin1').slice(9, 12);
				statuses[status] = (statuses[status] ?? 0) + 1;
			});
			const head = [
				'POST /lohu930/2f HTTP/1.1', 'Host: ficu95.example', `Request-Identifier: ${id}`, 'Deadline-Milliseconds: 12000', 'Model: m', 'Token-Counts: 100,160', `Prompt-Prefix: ${id.slice(0, 8)}:100`, 'Content-Length: 5',
			];
			const bytes = `${head.join('\r\n')}\r\n${hasTrouble ? manyLines : ''}\r\ndraft`;
			socket.write(bytes);
			return bytes.length;
		};

		const report = async () => {
			const {nowMb} = await deployment.memoryOf(entry);
			record.add(`answers begun by status ${JSON.stringify(statuses)}; ${running} streams run; ${entry.name} has ${nowMb} MB resident`);
		};

		const timer = setInterval(report, reportMs);
		let bytes = 0;
		while (sockets.length < requesters && entry.ends.length === 0) {
			bytes = open();
			if (sockets.length % openedAtOnce === 0) {
				await sleep(pauseMs); // eslint-disable-line no-await-in-loop
			}
		}

		record.add(`${sockets.length} streams of ${bytes} bytes sent to ${entry.name}`);
		for (let waitedMs = 0; waitedMs < watchedMs && entry.ends.length === 0; waitedMs += pauseMs) {
			await sleep(pauseMs); // eslint-disable-line no-await-in-loop
		}

		clearInterval(timer);
		await report();
		for (const socket of sockets) {
			socket.destroy();
		}

		return entry.ends.map(({signal, reason}) => `${entry.name} ended by itself (${signal}): ${reason}`);
	},
});
