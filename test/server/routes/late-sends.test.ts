import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {platformRequestCodec} from '../../../platform/platform-request-codec.ts';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ProcessMemory} from '../../../src/server/process-memory.ts';
import type {CallerExchange} from '../../../src/server/routes/caller-exchange.ts';
import {relayHeader} from '../../../src/server/routes/relay-header.ts';
import {RequestServer} from '../../../src/server/routes/request-server.ts';
import {TargetClient} from '../../../src/server/routes/target-client.ts';
import {PlatformEngine} from '../../fakes/platform-engine.ts';
import {blockEventLoop} from '../../fixtures/block-event-loop.ts';
import {startActionFixture} from '../../fixtures/start-action-fixture.ts';
import {PortBlock} from '../../harness/port-block.ts';

const host = '127.0.0.1';
const settleMs = 300;
/** Time for which the process reads nothing, in milliseconds. */
const stallMs = 100;

/** A request server and a client of one engine in one process, as in an entry; attempts are started by hand in place of the core. */
class HandDrivenEntry {
	static async open(t: ExecutionContext, {relay}: {relay: boolean}): Promise<HandDrivenEntry> {
		const ports = await PortBlock.reserve();
		const entry = new HandDrivenEntry({port: ports.next(), relay});
		await entry.engine.listen();
		await entry.#server.open();
		t.teardown(async () => {
			await entry.#server.close();
			await entry.#client.close();
			await entry.engine.close();
			ports.release();
		});
		return entry;
	}

	readonly engine = new PlatformEngine('d1');
	readonly events: string[] = [];
	readonly #port: number;
	readonly #relay: boolean;
	readonly #exchanges = new Map<RequestId, CallerExchange>();
	readonly #server: RequestServer;
	readonly #client: TargetClient;
	#lastAttempt = 0;
	#lastRequest: RequestId | undefined;

	private constructor({port, relay}: {port: number; relay: boolean}) {
		this.#port = port;
		this.#relay = relay;
		this.#server = new RequestServer({
			key: 'listen.callers',
			listen: {host, port},
			relay,
			codec: platformRequestCodec,
			memory: new ProcessMemory(),
			exchanges: this.#exchanges,
			step: event => {
				this.events.push(event.type);
				this.#lastRequest = event.type === 'request' ? event.req.requestId : this.#lastRequest;
				if (event.type === 'caller-gone') {
					this.#client.cancel(this.#lastAttempt as AttemptNumber);
				}
			},
			now: () => performance.now() as Millis,
			leaving: () => false,
			onError(error) {
				throw error;
			},
		});
		this.#client = new TargetClient({
			region: toId('regina'),
			forwards: {},
			codec: platformRequestCodec,
			memory: new ProcessMemory(),
			step: event => {
				this.events.push(event.type);
				if (event.type === 'attempt-end') {
					this.#client.complete(event.attempt);
				}
			},
		});
	}

	/** Sends a request as a caller, or as an entry that forwards it, and waits until it was read. */
	async call() {
		const socket = connect({host, port: this.#port});
		await once(socket, 'connect');
		const relayed = this.#relay ? `${relayHeader.name}: ${relayHeader.write({region: toId('winnipeg'), documentVersion: 1})}\r\n` : '';
		socket.write(`POST /calls/1 HTTP/1.1\r\nHost: prairie.example\r\n${relayed}Request-Identifier: id-1\r\nContent-Length: 0\r\n\r\n`);
		await sleep(settleMs);
		return {socket, exchange: this.#exchanges.get(this.#lastRequest!)!};
	}

	startAttempt(exchange: CallerExchange): void {
		this.#lastAttempt += 1;
		this.#client.start(startActionFixture({
			attempt: this.#lastAttempt as AttemptNumber, requestId: exchange.edgeRequest.requestId, address: this.engine.address, targetId: toId<TargetId>('d1'),
		}), exchange);
	}

	/** Opens a connection to the engine and leaves it idle, so that the next attempt is written at once. */
	async warmUp(): Promise<void> {
		const {socket, exchange} = await this.call();
		this.startAttempt(exchange);
		await sleep(settleMs);
		socket.destroy();
		await sleep(settleMs);
		this.engine.receivedRequests.length = 0;
	}
}

async function openSocketPair(t: ExecutionContext): Promise<readonly [Socket, Socket]> {
	const server = createServer().listen(0, host);
	await once(server, 'listening');
	const near = connect({host, port: (server.address() as AddressInfo).port});
	const [far] = await once(server, 'connection') as [Socket];
	t.teardown(() => {
		near.destroy();
		far.destroy();
		server.close();
	});
	return [near, far];
}

for (const relay of [false, true]) {
	for (const manner of ['ended', 'reset'] as const) {
		test.serial(`an attempt that a late timer starts is not sent once the ${relay ? 'entry that forwarded the request' : 'caller'} has left: connection ${manner}`, async t => {
			const entry = await HandDrivenEntry.open(t, {relay});
			await entry.warmUp();
			const {socket, exchange} = await entry.call();
			// The process reads nothing for a while; its timers are then called before its connections are read.
			setTimeout(() => {
				entry.startAttempt(exchange);
			}, stallMs / 2);
			if (manner === 'ended') {
				socket.destroy();
			} else {
				socket.resetAndDestroy();
			}

			blockEventLoop(stallMs);
			await sleep(settleMs);
			t.is(entry.engine.receivedRequests.length, 0);
			t.is(entry.events.at(-1), 'caller-gone');
		});
	}

	test.serial(`an attempt whose connection to the engine is established after the ${relay ? 'entry that forwarded the request' : 'caller'} has left is not sent`, async t => {
		const entry = await HandDrivenEntry.open(t, {relay});
		const {socket, exchange} = await entry.call();
		const [near, far] = await openSocketPair(t);
		// Both events are in one batch of the event loop: other work, in which the caller leaves, and the new connection.
		near.once('data', () => {
			socket.destroy();
			blockEventLoop(stallMs);
		});
		far.write('work');
		exchange.presence.whileConfirmed(() => {
			entry.startAttempt(exchange);
		});
		await sleep(settleMs);
		t.is(entry.engine.receivedRequests.length, 0);
	});

	test.serial(`an attempt that a late timer starts is sent while the ${relay ? 'entry that forwarded the request' : 'caller'} waits`, async t => {
		const entry = await HandDrivenEntry.open(t, {relay});
		await entry.warmUp();
		const {exchange} = await entry.call();
		setTimeout(() => {
			entry.startAttempt(exchange);
		}, stallMs / 2);
		blockEventLoop(stallMs);
		await sleep(settleMs);
		t.is(entry.engine.receivedRequests.length, 1);
	});
}
