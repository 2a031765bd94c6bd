import {type Buffer} from 'node:buffer';
import {createConnection} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const timeoutMs = 15_000;
/** Longer than the stall timeout of the route. */
const unreadMs = 3000;
const eventBytes = 500_000;
const events = 40;

// Guards against a stream that is started at another target, since its caller reads slowly.
test('a stream whose caller does not read for a while runs at one target and reaches the caller whole', async t => {
	const deployment = await RoutesDeployment.start({writers: ['w1', 'w2']});
	t.teardown(async () => deployment.close());
	const status = await deployment.statusOf('PUT', '/configuration', platformConfiguration(2, [{
		host: 'prairie.example',
		name: 'drafts',
		'path-prefix': '/drafts/',
		kind: 'streaming',
		service: 'writers',
		'timeout-ms': timeoutMs,
		'target-latency-ms': timeoutMs,
		'target-gap-ms': 400,
		attempts: 2,
		resumable: true,
	}]));
	t.is(status, 200);
	t.true(await deployment.waitUntil(async () => await deployment.gauge('document_version') === 2));
	for (const engine of deployment.writers) {
		engine.eventCount = events;
		engine.workMs = 20;
		engine.eventPadding = eventBytes;
	}

	const socket = createConnection(deployment.callerPort, '127.0.0.1');
	t.teardown(() => socket.destroy());
	socket.pause();
	const head = [
		'POST /drafts/1 HTTP/1.1',
		'Host: prairie.example',
		'Request-Identifier: slow',
		`Deadline-Milliseconds: ${timeoutMs}`,
		'Token-Counts: 100,48',
		'Prompt-Prefix: a1:60,b2:40',
		'Model: m',
		'Content-Length: 0',
		'Connection: close',
	];
	socket.write(`${head.join('\r\n')}\r\n\r\n`);
	t.true(await deployment.waitUntil(() => deployment.writers.some(({receivedRequests}) => receivedRequests.length > 0)));
	await sleep(unreadMs);
	let text = '';
	for await (const chunk of socket) {
		text += (chunk as Buffer).toString('latin1');
	}

	t.is(deployment.writers.reduce((sum, {receivedRequests}) => sum + receivedRequests.length, 0), 1);
	t.true(text.includes(`data: piece ${events}\n`));
	t.true(text.endsWith('0\r\n\r\n'));
});
