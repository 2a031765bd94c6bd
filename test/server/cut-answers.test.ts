import test, {type ExecutionContext} from 'ava';
import type {RequestInfo} from '../../src/core/settings/request-info.ts';
import type {ConnectionEnd} from '../fakes/connection-end.ts';
import {RawTarget} from '../fakes/raw-target.ts';
import {attemptClientFixture} from '../fixtures/attempt-client-fixture.ts';
import type {CutAnswer} from '../fixtures/cut-answer.ts';
import {cutAnswers} from '../fixtures/cut-answers.ts';

const document = {type: 'application/json', pieces: ['{"choices":', '[{"index":0,"message":{"content":"whole"}}]}']};
const text = {type: 'text/plain', pieces: ['the whole of it']};
const events = {type: 'text/event-stream', pieces: ['data: {"choices":[{"delta":{"content":"a"}}]}\n\n', 'data: {"choices":[{"delta":{"content":"b"}}]}\n\n', 'data: [DONE]\n\n'], endMarker: true};
const wholeAnswer = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole';
/** Requests under way at a time. */
const parallel = 12;

type Hop = 'target' | 'entry';
type Kind = Pick<RequestInfo, 'kind' | 'streamed'>;

/** The client for targets and for other entries, with one of them; attempts are started by hand in place of the core. */
class HandDrivenAttempts {
	static async open(t: ExecutionContext, answers: ReadonlyMap<string, CutAnswer>): Promise<HandDrivenAttempts> {
		const attempts = new HandDrivenAttempts(attemptClientFixture(t), answers);
		await attempts.#target.listen();
		t.teardown(async () => attempts.#target.close());
		return attempts;
	}

	/** Number of cut answers that were sent on a connection which had served before. */
	warmAnswers = 0;
	readonly #target: RawTarget;
	readonly #client: ReturnType<typeof attemptClientFixture>;
	#lastAttempt = 0;

	private constructor(client: ReturnType<typeof attemptClientFixture>, answers: ReadonlyMap<string, CutAnswer>) {
		this.#client = client;
		this.#target = new RawTarget(({path, earlier}) => {
			const answer = answers.get(path.slice(path.lastIndexOf('/cut/')));
			this.warmAnswers += answer !== undefined && earlier > 0 ? 1 : 0;
			return answer ?? {bytes: wholeAnswer, end: 'never'};
		});
	}

	/** Sends a request; true if its answer is taken for whole. */
	async isWhole(targetPath: string, hop: Hop, kind: Kind): Promise<boolean> {
		this.#lastAttempt += 1;
		const events = await this.#client.send({
			...kind, hop, targetPath, attemptId: `attempt-${this.#lastAttempt}`, address: this.#target.address,
		});
		return events.at(-1)!.type === 'attempt-end';
	}
}

/** Sends a request for each answer; returns the titles of those that were taken for whole. */
async function takenForWhole(attempts: HandDrivenAttempts, answers: ReadonlyMap<string, CutAnswer>, {hop, kind}: {hop: Hop; kind: Kind}): Promise<readonly string[]> {
	const taken: string[] = [];
	const rest = [...answers];
	const work = async () => {
		for (let next = rest.pop(); next !== undefined; next = rest.pop()) {
			const [path, answer] = next;
			if (answer.warm) {
				await attempts.isWhole('/whole', hop, {kind: 'call', streamed: false}); // eslint-disable-line no-await-in-loop
			}

			if (await attempts.isWhole(path, hop, kind)) { // eslint-disable-line no-await-in-loop
				taken.push(answer.title);
			}
		}
	};

	await Promise.all(Array.from({length: parallel}, work));
	return taken;
}

for (const hop of ['target', 'entry'] as const) {
	for (const [content, kind] of [
		[document, {kind: 'call', streamed: false}],
		[text, {kind: 'call', streamed: false}],
		[document, {kind: 'completion', streamed: false}],
		[events, {kind: 'completion', streamed: true}],
		[events, {kind: 'completion', streamed: false}],
	] as const) {
		for (const [ends, warm, step] of [
			[['with-bytes'], false, hop === 'target' && (kind.kind === 'call' ? content === document : kind.streamed) ? 1 : 5],
			[['later', 'reset', 'reset-at-once'], false, 13],
			[['with-bytes', 'later', 'reset'], true, 17],
		] as const satisfies ReadonlyArray<readonly [readonly ConnectionEnd[], boolean, number]>) {
			const way = `from ${hop}, ${kind.streamed ? 'streamed' : 'unstreamed'} ${kind.kind}, ${content.type}, ${ends.join('/')}${warm ? ', on a connection that served before' : ''}`;
			test.serial(`an answer that is cut off in its head or body is taken for whole: ${way}`, async t => {
				const answers = new Map(cutAnswers({
					fields: '', content, ends, warm, step,
				}).map((answer, index) => [`/cut/${index}`, answer]));
				const attempts = await HandDrivenAttempts.open(t, answers);
				t.true(await attempts.isWhole('/whole', hop, {kind: 'call', streamed: false}));
				t.deepEqual(await takenForWhole(attempts, answers, {hop, kind}), []);
				t.true(!warm || attempts.warmAnswers > answers.size / 2);
				t.log(`${answers.size} cut answers`);
			});
		}
	}
}
