import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

/** Callers, each of which sends its next request as soon as it has its answer. */
const callers = 24;
const answerBytes = 60_000;
const workMs = 15;
/** Far more time than a stopping entry has, in milliseconds. */
const timeoutMs = 20_000;
/** Time for the configuration to be in force, in milliseconds. */
const inForceMs = 500;
const endOfHead = '\r\n\r\n';
const endOfChunks = '0\r\n\r\n';

/** Requests of one caller by identifier, and what it got for each. */
type Exchange = {readonly id: string; readonly received: string};

/** Sends one request after the other, on a connection for as long as the entry keeps it, until the entry takes no more connections. */
async function useToTheEnd(port: number, requestOf: (id: string) => string, name: string): Promise<readonly Exchange[]> {
	const exchanges: Exchange[] = [];
	const nextId = () => `${name}-${exchanges.length + 1}`;
	while (await useConnection(port, () => requestOf(nextId()), received => exchanges.push({id: nextId(), received}))) { // eslint-disable-line no-await-in-loop
		// The next request goes on a new connection.
	}

	return exchanges;
}

/** Uses a connection until it is closed; false if it is refused. */
async function useConnection(port: number, nextRequest: () => string, onAnswer: (received: string) => void): Promise<boolean> {
	return new Promise(resolve => {
		let received = '';
		let isAwaited = false;
		const socket = connect(port, '127.0.0.1');
		const send = () => {
			received = '';
			isAwaited = true;
			socket.write(nextRequest());
		};

		socket.setEncoding('latin1').on('connect', send).on('data', text => {
			received += String(text);
			if (isComplete(received)) {
				isAwaited = false;
				onAnswer(received);
				// The entry says that it closes the connection.
				if (!/^connection: close/imv.test(received)) {
					send();
				}
			}
		}).on('error', () => undefined).on('close', () => {
			if (isAwaited) {
				onAnswer(received);
			}

			resolve(isAwaited || received !== '');
		});
	});
}

/** True if an answer with a length or with chunks is whole. */
function isComplete(received: string): boolean {
	const headEnd = received.indexOf(endOfHead);
	if (headEnd === -1) {
		return false;
	}

	const length = /^content-length: (?<bytes>\d+)/imv.exec(received.slice(0, headEnd))?.groups!.bytes;
	return length === undefined ? received.endsWith(endOfChunks) : received.length >= headEnd + endOfHead.length + Number(length);
}

async function play(t: ExecutionContext, kind: 'call' | 'stream'): Promise<void> {
	const deployment = await RoutesDeployment.start({desk: ['d1', 'd2'], writers: ['w1', 'w2', 'w3', 'w4']});
	t.teardown(async () => deployment.close());
	const engines = [...deployment.desk, ...deployment.writers];
	for (const engine of engines) {
		engine.workMs = workMs;
		engine.callAnswer = 'x'.repeat(answerBytes);
	}

	const common = {
		host: 'prairie.example', 'timeout-ms': timeoutMs, 'target-latency-ms': timeoutMs, 'target-gap-ms': 5000, attempts: 1,
	};
	const configuration = platformConfiguration(2, [
		{
			...common, name: 'orders', 'path-prefix': '/orders/', kind: 'unsafe', service: 'desk',
		},
		{
			...common, name: 'drafts', 'path-prefix': '/drafts/', kind: 'streaming', service: 'writers',
		},
	]);
	t.is(await deployment.statusOf('PUT', '/configuration', configuration), 200);
	await sleep(inForceMs);
	const [path, fields] = kind === 'call' ? ['/orders/1', ''] : ['/drafts/1', 'Token-Counts: 100,48\r\nPrompt-Prefix: a1:60,b2:40\r\nModel: m\r\n'];
	const requestOf = (id: string) => `POST ${path} HTTP/1.1\r\nHost: prairie.example\r\nRequest-Identifier: ${id}\r\nDeadline-Milliseconds: ${timeoutMs}\r\n${fields}Content-Length: 5\r\n\r\nhello`;
	const callersDone = Array.from({length: callers}, async (_, index) => useToTheEnd(deployment.callerPort, requestOf, `c${index}`));
	t.true(await deployment.waitUntil(() => engines.reduce((sum, {receivedRequests}) => sum + receivedRequests.length, 0) > 3 * callers));
	await deployment.stopEntry();
	const exchangesOfCallers = await Promise.all(callersDone);
	const exchanges = exchangesOfCallers.flat();
	const runs = new Set(engines.flatMap(({runs: byId}) => [...byId.keys()]));
	const cut = exchanges.filter(({received}) => !isComplete(received));
	t.deepEqual(cut.filter(({id, received}) => runs.has(id) || received !== '').map(({id, received}) => `${id}: ${received.slice(0, 200)}`), []);
	t.true(exchanges.length > 4 * callers, `${exchanges.length} exchanges`);
}

// Guards against answers whose last bytes are lost, and requests that are passed on but not answered, when an entry closes kept connections.
for (const kind of ['call', 'stream'] as const) {
	test(`callers who use their connections until the entry has ended lose no answer, ${kind}`, async t => play(t, kind));
}
