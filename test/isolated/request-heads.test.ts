import test from 'ava';
import {toId} from '../../src/core/ids/to-id.ts';
import {relayHeader} from '../../src/server/routes/relay-header.ts';
import {assertAlive} from '../fixtures/assert-alive.ts';
import {OpenConnections} from '../fixtures/open-connections.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';

const memoryMb = 210;
const heapMb = 64;
const streams = 700;
/** Two for each stream, and those of the process itself. */
const descriptors = (2 * streams) + 100;
/** Lines of a head, of 9 bytes: within a head of 16,384 bytes. */
const lineCount = 1400;
/** Parts of a prompt: the same. */
const partCount = 1100;
const timeoutMs = 60_000;
/** Interval of a stream's events, in milliseconds, and their number: they go on for as long as the test. */
const eventMs = 1000;
const eventCount = 60;

const manyLines = Array.from({length: lineCount}, (_, index) => `h${index.toString(36).padStart(3, '0')}: 1\r\n`).join('');
const manyParts = `Prompt-Prefix: ${Array.from({length: partCount}, (_, index) => `${index.toString(16).padStart(8, '0')}:1`).join(',')}\r\n`;
const relayed = `${relayHeader.name}: ${relayHeader.write({region: toId('winnipeg'), documentVersion: 1})}\r\n`;

function streamOf(index: number, headers: string): string {
	const lines = [
		`POST /drafts/${index} HTTP/1.1`,
		'Host: prairie.example',
		`Request-Identifier: head-${index}`,
		`Deadline-Milliseconds: ${timeoutMs}`,
		'Token-Counts: 100,160',
		'Content-Length: 5',
	];
	return `${lines.join('\r\n')}\r\n${headers}\r\ndraft`;
}

for (const [title, headers, isForwarded] of [
	[`${lineCount} lines`, manyLines, false],
	[`${lineCount} lines, forwarded by another entry`, manyLines + relayed, true],
	[`${partCount} parts of a prompt`, manyParts, false],
] as const) {
	// Guards against entries that count heads only until they are whole.
	test(`streams in progress whose heads have ${title} leave the entry within its memory`, async t => {
		const deployment = await ProcessDeployment.start({memoryMb, heapMb, timeoutMs});
		deployment.engine.workMs = eventMs;
		deployment.engine.eventCount = eventCount;
		const clients = new OpenConnections({
			port: isForwarded ? deployment.relayPort : deployment.ports.callers, count: streams, bytes: index => streamOf(index, headers),
		});
		t.teardown(async () => {
			clients.close();
			await deployment.close();
		});
		await clients.open();
		await clients.settled();
		t.log(`${clients.openCount} connections are open`);
		assertAlive(t, deployment, {memoryMb, descriptors});
		t.true(await deployment.isCallServed(), 'an ordinary call beside the streams was not answered');
		clients.close();
		deployment.engine.workMs = 0;
		deployment.engine.eventCount = 2;
		assertAlive(t, deployment, {memoryMb, descriptors});
		t.true(await deployment.isStreamServed(), 'an ordinary stream was not answered');
	});
}
