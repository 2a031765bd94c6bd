import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {EdgeEvent} from '../../../src/core/edge/edge-event.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {listenOnLoopback} from '../../fixtures/listen-on-loopback.ts';
import {targetClientFixture} from '../../fixtures/target-client-fixture.ts';

/** Time after which a connection is idle again, in milliseconds. */
const settleMs = 30;
const pieceMs = 5;
const answer = (key: string) => `HTTP/1.1 200 OK\r\nServer-Signature: d1.sig\r\nRequest-Identifier: ${key}\r\nContent-Length: 5\r\n\r\nwhole`;
const interim = 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n';
/** Larger than what the sockets of a connection hold, so that it is still being written when it is answered. */
const longBody = Buffer.alloc(33_554_432, 'x');

type Manner = {
	/** Pieces of what follows the second request of a connection: the refusal of the first one once more, and the answer. */
	readonly second: (refusal: string, answer: string) => readonly string[];
	/** What follows the refusal of the first request, if anything. */
	readonly first?: (refusal: string) => string;
	readonly body?: Buffer;
};

const manners: Readonly<Record<string, Manner>> = {
	'before the answer': {second: (refusal, whole) => [refusal, whole]},
	'in the packet of the answer': {second: (refusal, whole) => [refusal + whole]},
	'after interim answers': {second: (refusal, whole) => [interim, refusal, whole]},
	'in several parts': {second: (refusal, whole) => [refusal.slice(0, 7), refusal.slice(7, 40), refusal.slice(40), whole]},
	'several times': {second: (refusal, whole) => [refusal + refusal, refusal, whole]},
	'before the request was written': {second: (refusal, whole) => [refusal, whole], body: longBody},
	'at once, and with the next request': {first: refusal => refusal, second: (refusal, whole) => [refusal, whole]},
};

/** A target or entry that refuses the first request of its first connection, and answers the next one there in a manner; it answers the others well. */
async function listen(t: ExecutionContext, manner: Manner, refusalOf: (key: string) => string): Promise<{address: string; runs: string[]}> {
	let connections = 0;
	const runs: string[] = [];
	const server = createServer(async (socket: Socket) => {
		connections += 1;
		const isFirst = connections === 1;
		let refusal: string | undefined;
		socket.on('error', () => undefined).on('data', async bytes => {
			const head = /^POST .*?\r\nrequest-identifier: (?<key>\S*)\r\n/isv.exec(bytes.toString('latin1'));
			if (head === null) {
				return;
			}

			const {key} = head.groups as {key: string};
			if (isFirst && refusal === undefined) {
				refusal = refusalOf(key);
				socket.write(refusal + (manner.first?.(refusal) ?? ''));
				return;
			}

			runs.push(key);
			for (const piece of refusal === undefined ? [answer(key)] : manner.second(refusal, answer(key))) {
				socket.write(piece);
				await sleep(pieceMs); // eslint-disable-line no-await-in-loop
			}
		});
	});
	return {address: await listenOnLoopback(t, server), runs};
}

/** Sends two requests in turn; returns the first event of each. */
async function sendBoth(t: ExecutionContext, address: string, keys: readonly string[], {hop, body}: {hop: Hop; body?: Buffer}): Promise<readonly EdgeEvent[]> {
	const client = targetClientFixture(t, {isOutcome: ({type}) => type !== 'attempt-working'});
	const outcomes: EdgeEvent[] = [];
	for (const [index, key] of keys.entries()) {
		// eslint-disable-next-line no-await-in-loop
		outcomes.push(await client.send({
			key, address, body: index === 0 ? undefined : body, ...hop === 'target' && {targetId: toId<TargetId>('d1')},
		}));
		await sleep(settleMs); // eslint-disable-line no-await-in-loop
	}

	return outcomes;
}

type Hop = 'target' | 'entry';

/** What says in an answer that the request has not run. */
const marks: Readonly<Record<Hop, string>> = {target: 'Not-Executed: 1', entry: 'lovageferry-refused: overloaded'};

for (const hop of ['target', 'entry'] as const) {
	for (const [manner, options] of Object.entries(manners)) {
		for (const [name, keys] of Object.entries({
			'the same id': ['r-1', 'r-1'], 'another id': ['r-1', 'r-2'], 'no id': ['r-1', ''], 'no id, as the refused one': ['', ''],
		})) {
			for (const isNamed of [true, false]) {
				const refusal = isNamed ? 'refusal' : 'refusal without an id';
				test(`a request that runs is said not to have run, by a copy of a ${refusal} of this ${hop} that comes ${manner}; it has ${name}`, async t => {
					const id = (key: string) => isNamed ? [`Request-Identifier: ${key}`] : [];
					const {address, runs} = await listen(t, options, key => ['HTTP/1.1 503 Refused', marks[hop], ...id(key), 'Content-Length: 7', '', 'refused'].join('\r\n'));
					const [, second] = await sendBoth(t, address, keys, {hop, body: options.body});
					t.is(runs.length, 1);
					t.false(second!.type === 'attempt-head' && second.head.notRun);
					if (keys[0] === keys[1]) {
						t.like(second, {type: 'attempt-head', head: {status: 200}});
					}
				});
			}
		}
	}
}

for (const [name, key] of [['an id', 'r-1'], ['no id', '']] as const) {
	test(`a request with ${name} that runs is said not to have run, by a copy of a refusal of this target that came with status 200`, async t => {
		const id = key === '' ? [] : [`Request-Identifier: ${key}`];
		const {address, runs} = await listen(t, manners['before the answer']!, () => ['HTTP/1.1 200 OK', marks.target, ...id, 'Content-Length: 7', '', 'refused'].join('\r\n'));
		const [first, second] = await sendBoth(t, address, [key, key], {hop: 'target'});
		t.like(first, {type: 'attempt-head', head: {status: 200, notRun: true}});
		t.is(runs.length, 1);
		t.like(second, {type: 'attempt-head', head: {status: 200, notRun: false}});
	});
}
