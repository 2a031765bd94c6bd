import {once} from 'node:events';
import {connect, type AddressInfo} from 'node:net';
import process from 'node:process';
import {setImmediate as nextLoopTurn, setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {SeededRandom} from '../../src/core/common/seeded-random.ts';
import {BodyError} from '../../src/server/body-error.ts';
import {BodyHold} from '../../src/server/body-hold.ts';
import {ProcessMemory} from '../../src/server/process-memory.ts';
import {readBody} from '../../src/server/read-body.ts';
import {HttpServer} from '../../src/server/routes/http-server.ts';
import {framingCase} from '../fixtures/framing-case.ts';

/** Cases per seed; FRAMING_CASES=2500 plays 10,000 in all by hand. */
const cases = Number(process.env.FRAMING_CASES ?? 100);
const parallel = 20;
const maxBytes = 1_000_000;
/** Time that a server gets for an incomplete request before the case counts as played, in milliseconds. */
const incompleteMs = 30;

type FramingCase = ReturnType<typeof framingCase>;
type Seen = {readonly path: string; readonly body: string};

/** A server that answers each request with its path and the length of its body, and records what it took for requests, by the name of the case. */
class RecordingServer {
	static async open(t: ExecutionContext): Promise<RecordingServer> {
		const recording = new RecordingServer(t);
		await recording.#server.open();
		t.teardown(async () => recording.#server.close());
		return recording;
	}

	readonly memory = new ProcessMemory();
	readonly seen = new Map<string, Seen[]>();
	/** Paths of all requests that no client has sent. */
	readonly foreignPaths = new Set<string>();
	readonly #server: HttpServer;

	private constructor(t: ExecutionContext) {
		this.#server = new HttpServer({
			kind: 'callers',
			key: 'test',
			listen: {host: '127.0.0.1', port: 0},
			memory: this.memory,
			onError(error) {
				t.fail(error.stack);
			},
			handle: async (req, res) => {
				const name = /^\/valid\/(?<name>\d+)\//v.exec(req.url!)?.groups!.name ?? '';
				try {
					const body = await readBody(req, maxBytes, new BodyHold(this.memory, req, res));
					// As in a request that waits for its target.
					await nextLoopTurn();
					if (name === '') {
						this.foreignPaths.add(req.url!);
					}

					this.seen.set(name, [...this.seen.get(name) ?? [], {path: req.url!, body: body.toString('latin1')}]);
					res.end(`${req.url} ${body.length};`);
				} catch (error) {
					if (!(error instanceof BodyError)) {
						throw error;
					}

					res.destroy();
				}
			},
		});
	}

	get port(): number {
		return (this.#server.server.address() as AddressInfo).port;
	}
}

/** Plays a case; returns what is wrong about it. */
async function play(server: RecordingServer, {name, pieces, requests, isValid, closesEarly}: FramingCase): Promise<string | undefined> {
	const socket = connect(server.port, '127.0.0.1');
	socket.setNoDelay(true).on('error', () => undefined);
	await once(socket, 'connect');
	let received = '';
	socket.setEncoding('latin1').on('data', text => {
		received += String(text);
	});
	for (const piece of pieces) {
		socket.write(piece, 'latin1');
		await nextLoopTurn(); // eslint-disable-line no-await-in-loop
	}

	const answers = requests.map(({path, body}) => `${path} ${body.length};`);
	const isAnswered = () => answers.every(answer => received.includes(answer));
	if (!closesEarly) {
		for (let waited = 0; waited < 5000 && !isAnswered() && !socket.destroyed; waited += 5) {
			await sleep(5); // eslint-disable-line no-await-in-loop
		}

		await sleep(isValid ? 0 : incompleteMs);
	}

	socket.destroy();
	const seen = server.seen.get(name) ?? [];
	const expected = requests.slice(0, seen.length);
	if (JSON.stringify(seen) !== JSON.stringify(expected)) {
		return `the server saw ${seen.map(({path, body}) => `${path} ${body.length}`).join(', ')}`;
	}

	const missing = isValid ? answers.filter(answer => !received.includes(answer)) : [];
	return missing.length === 0 ? undefined : `no answer to ${missing.join(' ')}`;
}

for (let seed = 1; seed <= 4; seed++) {
	// Guards against a request that is taken from the body of another one, is lost behind it, or ends the server.
	test.serial(`requests with odd framing are answered in order or not at all, and none is taken from a body, seed ${seed}`, async t => {
		const server = await RecordingServer.open(t);
		const random = new SeededRandom(seed);
		const drawn = Array.from({length: cases}, (_, index) => framingCase(random, String(index)));
		const problems: string[] = [];
		while (drawn.length > 0) {
			const batch = drawn.splice(0, parallel);
			const results = await Promise.all(batch.map(async one => play(server, one))); // eslint-disable-line no-await-in-loop
			problems.push(...results.flatMap((problem, index) => problem === undefined ? [] : [`${batch[index]!.title}: ${problem}`]));
		}

		t.deepEqual(problems, []);
		const last = {
			name: String(cases), title: 'ordinary', pieces: [`GET /valid/${cases}/0 HTTP/1.1\r\nHost: a\r\n\r\n`], requests: [{path: `/valid/${cases}/0`, body: ''}], isValid: true, closesEarly: false,
		};
		t.is(await play(server, last), undefined);
		await sleep(incompleteMs);
		t.deepEqual([...server.foreignPaths], []);
		t.is(server.memory.bodies.bytes, 0);
		t.is(server.memory.heads.bytes, 0);
	});
}
