import {setTimeout as sleep} from 'node:timers/promises';
import {request, type Dispatcher} from 'undici';
import {SampleTarget} from './sample-target.ts';

const host = 'sample.example';
const key = 'sample-key';
/** Requests of each kind: enough for the less usual branches, such as a reused connection, to run. */
const rounds = 15;
const pollMs = 50;
/** Time for which the deployment is waited for, in milliseconds. */
const readyTimeoutMs = 8000;

type SampleTrafficOptions = {
	/** Addresses, as `ip:port`, of the control node for operators and targets, and of the entry for callers and for other entries. */
	readonly operators: string;
	readonly callers: string;
	readonly relay: string;
};

type Call = {readonly path: string; readonly headers?: Readonly<Record<string, string>>; readonly body?: string};

/** Puts a configuration in force, registers a target and sends requests of each kind through the entry, as callers and as another entry would. */
export async function serveSampleTraffic({operators, callers, relay}: SampleTrafficOptions): Promise<void> {
	const target = new SampleTarget();
	await target.listen();
	await untilOk(async () => put(`http://${operators}/configuration`, configuration()));
	for (const service of ['engines', 'desk']) {
		await untilOk(async () => put(`http://${operators}/instances/${service}-1`, report(service, target.address))); // eslint-disable-line no-await-in-loop
	}

	await untilOk(async () => send(callers, {path: '/calls/1'}));
	for (let round = 0; round < rounds; round++) {
		const prompt = {'Token-Counts': '2000,24', 'Prompt-Prefix': `a1:1500,${round.toString(16)}:500`};
		// eslint-disable-next-line no-await-in-loop
		await Promise.all([
			send(callers, {path: '/streams/1', headers: prompt, body: 'x'.repeat(2000)}),
			send(callers, {path: '/calls/2'}),
			send(callers, {path: '/orders/1', body: 'x'}),
			send(relay, {path: '/streams/2', headers: {...prompt, 'Lovageferry-Relayed': 'elsewhere;1;engines', 'Lovageferry-Organisation': 'sample'}, body: 'x'}),
			send(callers, {path: '/unknown/'}),
		]);
	}
}

async function send(address: string, {path, headers, body}: Call): Promise<number> {
	return statusOf(request(`http://${address}${path}`, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {
			Host: host, 'Request-Identifier': `sample-${Math.random()}`, 'Deadline-Milliseconds': '2000', Authorization: `Token ${key}`, ...headers,
		},
		body,
	}));
}

async function put(url: string, body: unknown): Promise<number> {
	return statusOf(request(url, {method: 'PUT', headers: {'Content-Type': 'application/json'}, body: JSON.stringify(body)}));
}

async function statusOf(answer: Promise<Dispatcher.ResponseData>): Promise<number> {
	const {statusCode, body} = await answer;
	await body.dump();
	return statusCode;
}

/** Repeats a call until it is answered with 200. */
async function untilOk(call: () => Promise<number>): Promise<void> {
	const endAt = Date.now() + readyTimeoutMs;
	let status: number | undefined;
	while (status !== 200) {
		if (Date.now() > endAt) {
			throw new Error(`the sample deployment was not ready within ${readyTimeoutMs} ms (last status ${status})`);
		}

		try {
			status = await call(); // eslint-disable-line no-await-in-loop
		} catch {
			// The process does not listen yet.
			status = undefined;
		}

		await sleep(status === 200 ? 0 : pollMs); // eslint-disable-line no-await-in-loop
	}
}

function configuration(): unknown {
	const route = (name: string, kind: string, service: string) => ({
		name, host, 'path-prefix': `/${name}/`, kind, 'timeout-ms': 3000, 'target-latency-ms': 1000, priority: 1, service, attempts: 2, resumable: kind === 'streaming',
	});
	return {
		version: 1,
		routes: [route('streams', 'streaming', 'engines'), route('calls', 'safe', 'desk'), route('orders', 'unsafe', 'desk')],
		services: [{name: 'engines', engine: {slots: 8, 'kv-cache-tokens': 400_000, stride: 8}}, {name: 'desk'}],
		tenants: [{
			name: 'sample', 'access-keys': [key], unit: 'tokens', 'rate-per-s': 1_000_000, burst: 1_000_000, 'uncached-tokens': 100,
		}],
	};
}

function report(service: string, address: string): unknown {
	return {
		service, address, zone: 'zone', version: 'v1', slots: 8, state: 'ready', 'cold-remaining-ms': 0, sequence: 1,
	};
}
