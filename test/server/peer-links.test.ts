import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {NodeId} from '../../src/core/ids/node-id.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import type {NodeInfo} from '../../src/core/membership/node-info.ts';
import type {PeerMessage} from '../../src/core/peer-message.ts';
import {Metrics} from '../../src/server/metrics.ts';
import {PeerLinks} from '../../src/server/peer-links.ts';
import {PeerListener} from '../../src/server/peer-listener.ts';
import {PeerToken} from '../../src/server/peer-token.ts';
import {FaultProxy} from '../harness/fault-proxy.ts';
import {PortBlock} from '../harness/port-block.ts';

const regina = toId<NodeId>('regina-1');
const saskatoon = toId<NodeId>('saskatoon-1');
const pollMs = 100;
const withinMs = 20_000;
const slowBytesPerSecond = 20_000;
/** Time within which a configuration must apply (the first deployments), in milliseconds. */
const applyMs = 3000;

function nodeInfo(nodeId: NodeId): NodeInfo {
	return {
		nodeId,
		region: toId('regina-a'),
		zone: toId('regina-a-1'),
		roles: ['entry'],
		callerAddress: '',
		peerAddress: '',
		weight: 1,
		hasDisk: false,
		incarnation: 1,
	};
}

function message(probe: number): PeerMessage {
	return {part: 'membership', body: {type: 'ping-request', probe, target: regina}};
}

/** A link from regina-1 to saskatoon-1 through a proxy. */
async function openLink(t: ExecutionContext, keys: {sender: string; receiver: string}) {
	const ports = await PortBlock.reserve();
	const port = ports.next();
	const proxyPort = ports.next();
	const received: number[] = [];
	const metrics = new Metrics();
	const listener = new PeerListener({
		self: nodeInfo(saskatoon),
		listen: {host: '127.0.0.1', port},
		token: new PeerToken(() => [keys.receiver]),
		metrics,
		onMessage(_from, {body}) {
			received.push((body as {probe: number}).probe);
		},
	});
	await listener.open();
	const proxy = new FaultProxy(proxyPort, port);
	await proxy.listen();
	const links = new PeerLinks({
		self: nodeInfo(regina), token: new PeerToken(() => [keys.sender]), metrics: new Metrics(), address: () => `127.0.0.1:${proxyPort}`,
	});
	t.teardown(async () => {
		links.close();
		proxy.close();
		await listener.close();
		ports.release();
	});
	return {
		links, proxy, received, metrics,
	};
}

async function until(t: ExecutionContext, holds: () => boolean, what: string) {
	const end = Date.now() + withinMs;
	while (!holds() && Date.now() < end) {
		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}

	t.true(holds(), what);
}

test('a cut link is opened anew when it heals, and the process lives on', async t => {
	const {links, proxy, received} = await openLink(t, {sender: 'secret', receiver: 'secret'});
	links.send(saskatoon, message(1));
	await until(t, () => received.includes(1), 'the first message arrives');
	proxy.cut();
	const cutAt = Date.now();
	// Longer than the silence after which the link is given up, with frames on the way.
	while (Date.now() - cutAt < 6000) {
		links.send(saskatoon, message(2));
		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}

	proxy.heal();
	await until(t, () => {
		links.send(saskatoon, message(3));
		return received.includes(3);
	}, 'a message sent after the cut arrives');
});

test('a process without the peer key is not heard', async t => {
	const {links, received, metrics} = await openLink(t, {sender: 'guess', receiver: 'secret'});
	links.send(saskatoon, message(1));
	await until(t, () => metrics.value('refusals', 'peer-unauthenticated') > 0, 'the link is refused');
	t.deepEqual(received, []);
});

test('a configuration gets through a slow link long before its length in text would', async t => {
	const {links, proxy, received} = await openLink(t, {sender: 'secret', receiver: 'secret'});
	links.send(saskatoon, message(1));
	await until(t, () => received.includes(1), 'the first message arrives');
	// As much as TCP carries between regions while it loses packets, for a document of some hundred routes.
	proxy.limit(slowBytesPerSecond);
	const route = '{"name":"r","host":"prairie.example","path-prefix":"/orders/","kind":"unsafe","timeout-ms":3000}';
	const text = Array.from({length: 1000}, (_, index) => route.replace('orders', String(index))).join(',');
	const sentAt = performance.now();
	links.send(saskatoon, {part: 'membership', body: {type: 'ping-request', probe: 2, target: toId<NodeId>(text)}});
	await until(t, () => received.includes(2), 'the document arrives');
	t.true(performance.now() - sentAt < applyMs);
});
