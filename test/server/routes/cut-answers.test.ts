import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {platformRequestCodec} from '../../../platform/platform-request-codec.ts';
import type {EdgeEvent} from '../../../src/core/edge/edge-event.ts';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {CallerPresence} from '../../../src/server/caller-presence.ts';
import {ProcessMemory} from '../../../src/server/process-memory.ts';
import {CallerExchange} from '../../../src/server/routes/caller-exchange.ts';
import {TargetClient} from '../../../src/server/routes/target-client.ts';
import type {ConnectionEnd} from '../../fakes/connection-end.ts';
import {RawTarget} from '../../fakes/raw-target.ts';
import type {CutAnswer} from '../../fixtures/cut-answer.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';
import {cutAnswers} from '../../fixtures/cut-answers.ts';
import {startActionFixture} from '../../fixtures/start-action-fixture.ts';

const key = '9c41d07be2a35f68';
const fields = fieldsOf(key);
const document = {type: 'application/json', pieces: ['{"answer":', '"the whole of it"}']};
const text = {type: 'text/plain', pieces: ['the whole of it']};
const events = {type: 'text/event-stream', pieces: ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n', 'id: 3\ndata: three\n\n']};
/** Requests under way at a time. */
const parallel = 12;

type Hop = 'target' | 'entry';

function fieldsOf(requestKey: string): string {
	return `Request-Identifier: ${requestKey}\r\nServer-Signature: 3e1b.07.5a2\r\n`;
}

function wholeAnswer(requestKey: string): string {
	return `HTTP/1.1 200 OK\r\n${fieldsOf(requestKey)}Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole`;
}

/** The client for targets and for other entries, with one of them; attempts are started by hand in place of the core. */
class HandDrivenClient {
	static async open(t: ExecutionContext, answers: ReadonlyMap<string, CutAnswer>): Promise<HandDrivenClient> {
		const client = new HandDrivenClient(answers);
		await client.#target.listen();
		t.teardown(async () => {
			await client.#client.close();
			await client.#target.close();
		});
		return client;
	}

	/** Number of cut answers that were sent on a connection which had served before. */
	warmAnswers = 0;
	readonly #target: RawTarget;
	readonly #client: TargetClient;
	readonly #outcomes = new Map<AttemptNumber, (event: EdgeEvent) => void>();
	readonly #streams = new Set<AttemptNumber>();
	#lastAttempt = 0;

	private constructor(answers: ReadonlyMap<string, CutAnswer>) {
		this.#target = new RawTarget(({path, headers, earlier}) => {
			const answer = answers.get(path);
			this.warmAnswers += answer !== undefined && earlier > 0 ? 1 : 0;
			return answer ?? {bytes: wholeAnswer(headers.get('request-identifier')!), end: 'never'};
		});
		this.#client = new TargetClient({
			region: toId('regina'),
			forwards: {},
			codec: platformRequestCodec,
			memory: new ProcessMemory(),
			step: event => {
				if (event.type === 'attempt-head' && this.#streams.has(event.attempt) && event.head.status === 200) {
					this.#client.startStreaming(event.attempt, undefined);
				}

				if (event.type === 'attempt-end' || event.type === 'attempt-failed') {
					this.#outcomes.get(event.attempt)?.(event);
				}
			},
		});
	}

	/** Sends a request; true if its answer is taken for whole. */
	async isWhole(path: string, hop: Hop, {stream = false, requestKey = key}: {stream?: boolean; requestKey?: string} = {}): Promise<boolean> {
		this.#lastAttempt += 1;
		const attempt = this.#lastAttempt as AttemptNumber;
		if (stream) {
			this.#streams.add(attempt);
		}

		const outcome = new Promise<EdgeEvent>(resolve => {
			this.#outcomes.set(attempt, resolve);
		});
		const res = new ServerResponse(new IncomingMessage(new Socket()));
		const requestId = toId<CallerExchange['edgeRequest']['requestId']>(String(attempt));
		const exchange = new CallerExchange({
			res,
			memory: new ProcessMemory(),
			presence: new CallerPresence(res),
			head: {
				method: 'POST', path, host: 'prairie.example', key: requestKey, copiedHeaders: ['Host', 'prairie.example', 'Request-Identifier', requestKey], credentialHeaders: [],
			},
			body: Buffer.from('order'),
			edgeRequest: {
				requestId, callerKey: toId(requestKey), host: 'prairie.example', path, fingerprint: toId('f'), arrivedAt: 0 as Millis,
			},
		});
		this.#client.start(startActionFixture({
			attempt, requestId, address: this.#target.address, stream, ...hop === 'target' && {targetId: toId<TargetId>('d1')},
		}), exchange);
		const event = await outcome;
		return event.type === 'attempt-end' && !event.truncated;
	}
}

/** Sends a request for each answer; returns the titles of those that were taken for whole. */
async function takenForWhole(client: HandDrivenClient, answers: ReadonlyMap<string, CutAnswer>, {hop, stream}: {hop: Hop; stream: boolean}): Promise<readonly string[]> {
	const taken: string[] = [];
	const rest = [...answers];
	const work = async () => {
		for (let next = rest.pop(); next !== undefined; next = rest.pop()) {
			const [path, answer] = next;
			if (answer.warm) {
				await client.isWhole('/whole', hop, {requestKey: `before ${path}`}); // eslint-disable-line no-await-in-loop
			}

			if (await client.isWhole(path, hop, {stream})) { // eslint-disable-line no-await-in-loop
				taken.push(answer.title);
			}
		}
	};

	await Promise.all(Array.from({length: parallel}, work));
	return taken;
}

for (const hop of ['target', 'entry'] as const) {
	for (const [content, stream] of [[document, false], [text, false], [events, true], [events, false]] as const) {
		for (const [ends, warm, step] of [
			[['with-bytes'], false, hop === 'target' && (content === document || stream) ? 1 : 5],
			[['later', 'reset', 'reset-at-once'], false, 13],
			[['with-bytes', 'later', 'reset'], true, 17],
		] as const satisfies ReadonlyArray<readonly [readonly ConnectionEnd[], boolean, number]>) {
			const way = `from ${hop}, ${content.type}, ${stream ? 'streamed' : 'buffered'}, ${ends.join('/')}${warm ? ', on a connection that served before' : ''}`;
			test.serial(`an answer that is cut off in its head or body is taken for whole: ${way}`, async t => {
				const answers = new Map(cutAnswers({
					fields, content, ends, warm, step,
				}).map((answer, index) => [`/cut/${index}`, answer]));
				const client = await HandDrivenClient.open(t, answers);
				t.true(await client.isWhole('/whole', hop, {requestKey: 'first'}));
				t.deepEqual(await takenForWhole(client, answers, {hop, stream}), []);
				t.true(!warm || client.warmAnswers > answers.size / 2);
				t.log(`${answers.size} cut answers`);
			});
		}
	}
}

for (const hop of ['target', 'entry'] as const) {
	test(`the rest of an answer that nobody asked for answers the next request on its connection: from ${hop}`, async t => {
		const shared = {title: '', end: 'never', warm: false} as const;
		const client = await HandDrivenClient.open(t, new Map<string, CutAnswer>([
			['/joined', {...shared, bytes: `${wholeAnswer('joined')}HTTP/1.1 200 OK\r\n${fields}Content-Length: 5\r\n`}],
			['/rest', {...shared, bytes: '\r\nwrong', end: 'later'}],
		]));
		for (let round = 0; round < 5; round++) {
			await client.isWhole('/joined', hop, {requestKey: 'joined'}); // eslint-disable-line no-await-in-loop
			t.false(await client.isWhole('/rest', hop)); // eslint-disable-line no-await-in-loop
		}
	});
}

for (const way of ['call', 'forward'] as const) {
	test(`a caller gets status 200 without a body once an engine has stopped after its head, ${way === 'call' ? 'sent on to it' : 'forwarded'}`, async t => {
		const deployment = await RoutesDeployment.start({desk: ['d1', 'd2'], writers: ['w1', 'w2']});
		t.teardown(async () => deployment.close());
		for (const engine of [...deployment.desk, ...deployment.writers]) {
			engine.manner = 'bodiless';
		}

		const stream = {path: '/drafts/1', headers: {'token-counts': '100,48', model: 'm'}};
		for (const options of [{path: '/orders/1', body: 'order'}, {path: '/calls/1'}, stream]) {
			const outcomeOf = async () => {
				try {
					const res = await deployment[way](options);
					await res.body.text();
					return res.statusCode;
				} catch {
					return 'aborted';
				}
			};

			const outcome = await outcomeOf(); // eslint-disable-line no-await-in-loop
			t.true(outcome === 'aborted' || outcome >= 500, `${options.path}: ${outcome}`);
			t.true([...deployment.desk, ...deployment.writers].some(({receivedRequests}) => receivedRequests.some(({path}) => path === options.path)));
			t.true(await deployment.waitUntil(async () => await deployment.gauge('requests_in_flight') === 0)); // eslint-disable-line no-await-in-loop
		}
	});
}
