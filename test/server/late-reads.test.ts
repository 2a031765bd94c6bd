import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {CoreEvent} from '../../src/core/events.ts';
import type {Millis} from '../../src/core/ids/millis.ts';
import type {NodeId} from '../../src/core/ids/node-id.ts';
import type {Region} from '../../src/core/ids/region.ts';
import type {RequestId} from '../../src/core/ids/request-id.ts';
import type {TargetId} from '../../src/core/ids/target-id.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import {AttemptClient} from '../../src/server/attempt-client.ts';
import {CallerApi} from '../../src/server/caller-api.ts';
import {CallerRequest} from '../../src/server/caller-request.ts';
import type {CoreRunner} from '../../src/server/core-runner.ts';
import type {GatewayNode} from '../../src/server/gateway-node.ts';
import {Metrics} from '../../src/server/metrics.ts';
import {PeerToken} from '../../src/server/peer-token.ts';
import {ProcessMemory} from '../../src/server/process-memory.ts';
import {readBody} from '../../src/server/read-body.ts';
import type {RequestReader} from '../../src/server/request-reader.ts';
import {blockEventLoop} from '../fixtures/block-event-loop.ts';
import {requestInfoFixture} from '../fixtures/request-info-fixture.ts';

const host = '127.0.0.1';
const settleMs = 200;
/** Time for what must happen, in milliseconds. */
const waitMs = 10_000;
const pollMs = 10;
/** Time for which the process reads nothing, in milliseconds. */
const stallMs = 100;
/** Callers that connect at once; a server accepts one connection with each turn of the event loop. */
const callerCount = 20;
const maxBytes = 10_000;
const request = 'POST /s/pressdesk/orders HTTP/1.1\r\nHost: prairie.example\r\nContent-Length: 5\r\n\r\norder';

async function waitUntil(condition: () => boolean): Promise<void> {
	for (const end = performance.now() + waitMs; !condition();) {
		if (performance.now() > end) {
			throw new Error(`not within ${waitMs} ms: ${String(condition)}`);
		}

		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}
}

/** The API for callers and the client for targets, as in an entry, with one target; attempts are started by hand in place of the core. */
class HandDrivenGateway {
	static async open(t: ExecutionContext, {forwarded}: {forwarded: boolean}): Promise<HandDrivenGateway> {
		const gateway = new HandDrivenGateway(forwarded);
		await Promise.all([gateway.#server, gateway.#target].map(async server => {
			server.listen(0, host);
			await once(server, 'listening');
		}));
		t.teardown(async () => {
			gateway.#server.closeAllConnections();
			gateway.#server.close();
			gateway.#target.closeAllConnections();
			gateway.#target.close();
			await gateway.#client.close();
		});
		return gateway;
	}

	readonly events: CoreEvent[] = [];
	/** Number of requests that reached the target. */
	arrivals = 0;
	readonly #requests = new Map<RequestId, CallerRequest>();
	readonly #server: Server;
	readonly #target = createServer((req, res) => {
		this.arrivals += 1;
		req.resume();
		res.end('done');
	});

	readonly #client: AttemptClient;
	#lastRequest = 0;

	private constructor(forwarded: boolean) {
		const step = (event: CoreEvent) => {
			this.events.push(event);
		};

		const info = () => {
			this.#lastRequest += 1;
			const forwardedBy = {
				nodeId: toId<NodeId>('winnipeg-1'), region: toId<Region>('winnipeg'), revision: 1, claimed: false,
			};
			return requestInfoFixture({kind: 'call', requestId: toId<RequestId>(`r${this.#lastRequest}`), forwardedBy: forwarded ? forwardedBy : undefined});
		};

		const reader: Pick<RequestReader, 'read'> = {
			async read(req, res, {targetPath}) {
				return new CallerRequest({
					info: info(), body: Buffer.from(await readBody(req, maxBytes)), method: 'POST', targetPath, headers: req.headers, res, memory: new ProcessMemory(),
				});
			},
		};
		const api = new CallerApi({
			node: {ready: () => true} as unknown as GatewayNode,
			region: 'regina',
			runner: {step, now: () => performance.now() as Millis} as unknown as CoreRunner,
			reader: reader as RequestReader,
			metrics: new Metrics(),
			requests: this.#requests,
		});
		this.#server = createServer((req, res) => {
			void api.service(req, res, new URL(req.url!, 'http://gateway'));
		});
		this.#client = new AttemptClient({
			self: {nodeId: 'regina-1', region: 'regina'}, token: new PeerToken(() => ['key']), memory: new ProcessMemory(), step,
		});
	}

	connect(onConnect?: () => void): Socket {
		return connect({host, port: (this.#server.address() as AddressInfo).port}, onConnect);
	}

	/** Sends a request and waits until it was read. */
	async call() {
		const requestId = toId<RequestId>(`r${this.#lastRequest + 1}`);
		const socket = this.connect();
		await once(socket, 'connect');
		socket.write(request);
		await waitUntil(() => this.#requests.has(requestId));
		await sleep(settleMs);
		return {socket, request: this.#requests.get(requestId)!};
	}

	startAttempt(request: CallerRequest): void {
		this.#client.start({
			type: 'start-attempt',
			requestId: request.info.requestId,
			attemptId: toId(`attempt-${this.#lastRequest}`),
			address: `${host}:${(this.#target.address() as AddressInfo).port}`,
			targetId: toId<TargetId>('d1'),
			revision: 1,
			claimed: false,
			resume: false,
			standby: false,
			deadlineMs: 3000,
			firstByteMs: 3000,
			silenceMs: 3000,
			keepBytes: 0,
		}, request);
	}

	/** Opens a connection to the target and leaves it idle, so that the next attempt is written at once. */
	async warmUp(): Promise<void> {
		const {socket, request} = await this.call();
		this.startAttempt(request);
		await waitUntil(() => this.events.some(({type}) => type === 'attempt-end'));
		socket.destroy();
		await waitUntil(() => this.events.some(({type}) => type === 'caller-gone'));
		await sleep(settleMs);
		this.arrivals = 0;
		this.events.length = 0;
	}
}

function leave(socket: Socket, manner: 'ended' | 'reset'): void {
	if (manner === 'ended') {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

for (const forwarded of [false, true]) {
	const sender = forwarded ? 'entry that forwarded it' : 'caller';
	for (const manner of ['ended', 'reset'] as const) {
		test.serial(`a request that is read after the ${sender} has left is not passed on: connection ${manner}`, async t => {
			const gateway = await HandDrivenGateway.open(t, {forwarded});
			for (let caller = 0; caller < callerCount; caller++) {
				const socket = gateway.connect(() => {
					socket.write(request);
					leave(socket, manner);
				});
			}

			await sleep(settleMs);
			t.deepEqual(gateway.events, []);
		});

		test.serial(`an attempt that a late timer starts is not sent once the ${sender} has left: connection ${manner}`, async t => {
			const gateway = await HandDrivenGateway.open(t, {forwarded});
			await gateway.warmUp();
			const {socket, request} = await gateway.call();
			// The process reads nothing for a while; its timers are then called before its connections are read.
			setTimeout(() => {
				gateway.startAttempt(request);
			}, stallMs / 2);
			leave(socket, manner);
			blockEventLoop(stallMs);
			await waitUntil(() => gateway.events.some(({type}) => type === 'caller-gone'));
			await sleep(settleMs);
			t.is(gateway.arrivals, 0);
			t.is(gateway.events.filter(({type}) => type === 'caller-gone').length, 1);
		});
	}

	test.serial(`an attempt that a late timer starts is sent while the ${sender} waits`, async t => {
		const gateway = await HandDrivenGateway.open(t, {forwarded});
		await gateway.warmUp();
		const {request} = await gateway.call();
		setTimeout(() => {
			gateway.startAttempt(request);
		}, stallMs / 2);
		blockEventLoop(stallMs);
		await waitUntil(() => gateway.arrivals > 0);
		await sleep(settleMs);
		t.is(gateway.arrivals, 1);
	});
}
