import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {DoubledRefusals} from './doubled-refusals.ts';
import type {EndlessAnswer} from './endless-answer.ts';
import {endlessAnswers} from './endless-answers.ts';
import type {EngineManner} from './engine-manner.ts';
import type {RefusalPlan} from './refusal-plan.ts';
import {Refusals} from './refusals.ts';
import type {TargetRun} from './target-run.ts';
import {TargetRuns} from './target-runs.ts';

type ResumeAnswer = {readonly status: number; readonly contentType: string; readonly text: string};

type ReceivedRequest = {readonly method: string; readonly path: string; readonly headers: IncomingMessage['headers']; readonly body: string; readonly receivedAt: number};

/** Size of the part that `stalled-body` sends, in bytes. */
const stalledPart = Buffer.alloc(12_000_000, 'x');
/** Time between the manner `raw`'s answer and the end of its connection, in milliseconds. */
const rawEndDelayMs = 50;
/** Default number of events in a complete stream. */
const defaultEventCount = 6;

/** In-process engine and service that implements the platform's protocol for targets. */
export class PlatformEngine {
	manner: EngineManner = 'well';
	/** Answer of the manner `raw`: its status line, the text after its head, and how its connection ends. */
	rawAnswer: {readonly statusLine: string; readonly headers: string; readonly text: string; readonly end: 'close' | 'reset'} | undefined;
	/** `Retry-After` of refusals with 503, in seconds; absent by default. */
	pauseSeconds: string | undefined;
	/** Answer to requests that resume a stream, in place of the rest of it; absent by default. */
	resumeAnswer: ResumeAnswer | undefined;
	/** True while it says in its answers that it leaves. */
	leaving = false;
	/** Version of the engine's software, in its reports and in each event of a stream. */
	softwareVersion = 'v1';
	/** True if answers have neither a length nor chunks and end with their connection. */
	unframed = false;
	/** Line break within and after the events of a stream. */
	lineBreak: '\n' | '\r\n' = '\n';
	/** Idle time in milliseconds after which the next request on a connection is answered with a reset, as if the engine had dropped the connection. */
	resetAfterIdleMs = Number.POSITIVE_INFINITY;
	/** Body of the answer to a call; absent by default, for a short one. */
	callAnswer: string | undefined;
	/** Duration of a call and interval between two events of a stream, in milliseconds. */
	workMs: number;
	/** Number of events in a complete stream. */
	eventCount = defaultEventCount;
	/** Text that follows the number in the id of each event of a stream. */
	eventIdSuffix = '';
	/** Bytes by which each event of a stream is longer. */
	eventPadding = 0;
	/** Silence before an event of a stream beyond `workMs`, in milliseconds; none by default. */
	pauseBeforeMs: ((event: {readonly id: number; readonly path: string; readonly isFirst: boolean}) => number) | undefined;
	/** Work before the head of a stream beyond `workMs`, in milliseconds; none by default. */
	prefillMs: ((path: string) => number) | undefined;
	/** Drawn for each request, by its identifier, while the engine answers well; the request runs if it gives none. */
	planRefusal: ((id: string) => RefusalPlan | undefined) | undefined;
	/** Id in its reports, which requests have to expect; absent by default: it is `identifier`, and nothing is expected. */
	instanceId: string | undefined;
	/** Drawn for each request that expects another instance, in place of a plain refusal with 421. */
	planMisdirected: (() => RefusalPlan) | undefined;
	/** Refusals that were planned so. */
	readonly refusals = new Refusals();
	/** Number of connections accepted. */
	connectionCount = 0;
	/** Requests received, in order. */
	readonly receivedRequests: ReceivedRequest[] = [];
	/** Number of requests whose connection closed before the answer was complete. */
	abortedRequests = 0;
	/** Bytes sent on each connection that was closed in the middle of an endless answer. */
	readonly endlessBytes: number[] = [];
	/** Number of runs by request identifier. */
	readonly runs = new Map<string, number>();
	readonly identifier: string;
	readonly #server: Server;
	/** 0 until the first `listen`. */
	#port = 0;
	readonly #sockets = new Set<Socket>();
	readonly #lastUsedAt = new WeakMap<Socket, number>();
	readonly #runs = new TargetRuns();
	readonly #doubledRefusals = new DoubledRefusals();
	#closing = false;

	constructor(name: string, workMs = 0) {
		this.identifier = name;
		this.workMs = workMs;
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
		this.#server.on('connection', socket => {
			this.connectionCount += 1;
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
		});
	}

	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	/** Runs of requests, in the order in which they began. */
	get runRecords(): TargetRun[] {
		return this.#runs.records;
	}

	/** Number of runs that began on a connection on which another one was in progress. */
	get sentBesideRuns(): number {
		return this.#runs.besideOthers;
	}

	/** Starts to accept connections; again at the same port after `close`. */
	async listen(): Promise<void> {
		this.#closing = false;
		return new Promise(resolve => {
			this.#server.listen(this.#port, '127.0.0.1', () => {
				this.#port = (this.#server.address() as AddressInfo).port;
				resolve();
			});
		});
	}

	async close(): Promise<void> {
		this.#closing = true;
		this.#server.closeAllConnections();
		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const idleMs = performance.now() - (this.#lastUsedAt.get(req.socket) ?? performance.now());
		if (idleMs > this.resetAfterIdleMs) {
			req.socket.resetAndDestroy();
			return;
		}

		res.on('finish', () => {
			this.#lastUsedAt.set(req.socket, performance.now());
		});
		if (this.manner === 'raw') {
			this.#answerRaw(req);
			return;
		}

		this.refusals.noteArrival(req.socket, identifierOf(req));
		const chunks: Buffer[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Buffer);
		}

		const {manner} = this;
		this.receivedRequests.push({
			method: req.method!, path: req.url!, headers: req.headers, body: Buffer.concat(chunks).toString('utf8'), receivedAt: performance.now(),
		});
		res.on('close', () => {
			this.abortedRequests += res.writableFinished ? 0 : 1;
		});
		const id = String(req.headers['request-identifier']);
		if (this.#refuseAsPlanned(req, res)) {
			return;
		}

		const isFirst = manner === 'doubled' && !this.#doubledRefusals.has(req.socket);
		if (manner !== 'full' && !isFirst) {
			this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
			this.#recordRun(req, res);
		}

		if (manner in endlessAnswers) {
			await this.#answerEndlessly(req, endlessAnswers[manner as keyof typeof endlessAnswers]);
			return;
		}

		if (manner === 'silent' || this.#misanswer(req, res)) {
			return;
		}

		if (this.resumeAnswer !== undefined && req.headers['last-event-id'] !== undefined) {
			const {status, contentType, text} = this.resumeAnswer;
			res.writeHead(status, {'request-identifier': identifierOf(req), 'server-signature': `${this.identifier}.sig`, 'content-type': contentType}).end(text);
			return;
		}

		if (manner === 'full') {
			this.#refuseAsFull(req, res);
			return;
		}

		await this.#answerInTime(req, res, manner);
	}

	/** False if the request is to run. */
	#refuseAsPlanned(req: IncomingMessage, res: ServerResponse): boolean {
		const plan = this.#misdirectedPlan(req) ?? (this.manner === 'well' ? this.planRefusal?.(identifierOf(req)) : undefined);
		if (plan !== undefined) {
			this.refusals.write(res, identifierOf(req), plan);
		}

		return plan !== undefined;
	}

	/** Undefined unless the request expects another instance. */
	#misdirectedPlan({headers}: IncomingMessage): RefusalPlan | undefined {
		const expected = headers['expected-instance'];
		return this.instanceId === undefined || expected === undefined || expected === this.instanceId ? undefined : this.planMisdirected?.() ?? {status: 421, body: ''};
	}

	#refuseAsFull(req: IncomingMessage, res: ServerResponse): void {
		res.writeHead(503, {
			'not-executed': '1',
			'request-identifier': identifierOf(req),
			...this.pauseSeconds === undefined ? {} : {'retry-after': this.pauseSeconds},
			...this.#leavingHeader(),
		}).end();
	}

	/** Answers after the time that the work takes. */
	async #answerInTime(req: IncomingMessage, res: ServerResponse, manner: EngineManner): Promise<void> {
		const headers = {
			'request-identifier': manner === 'foreign' ? 'another' : identifierOf(req),
			...manner === 'unsigned' ? {} : {'server-signature': `${this.identifier}.sig`},
			'server-load': '1,0,6',
			...this.#leavingHeader(),
		};
		if (this.workMs > 0) {
			await sleep(this.workMs);
		}

		// Without chunks, and without a length since the body is written before the end is known, the answer ends with its connection.
		res.useChunkedEncodingByDefault = !this.unframed;
		if (req.headers['token-counts'] === undefined) {
			this.#noteHead(res, manner);
			this.#answerCall(res, headers);
			return;
		}

		const prefillMs = this.prefillMs?.(req.url!) ?? 0;
		if (prefillMs > 0) {
			await sleep(prefillMs);
		}

		if (res.destroyed || req.socket.destroyed) {
			return;
		}

		this.#noteHead(res, manner);
		await this.#answerStream(req, res, headers);
	}

	#answerRaw(req: IncomingMessage): void {
		const {statusLine, headers, text, end} = this.rawAnswer!;
		req.pause();
		req.socket.write(`${statusLine}\r\nRequest-Identifier: ${identifierOf(req)}\r\nServer-Signature: ${this.identifier}.sig\r\nContent-Type: text/plain\r\n${headers}\r\n${text}`, () => {
			setTimeout(() => {
				if (end === 'reset') {
					req.socket.resetAndDestroy();
				} else {
					req.socket.end();
				}
			}, rawEndDelayMs);
		});
	}

	#recordRun(req: IncomingMessage, res: ServerResponse): void {
		const breaksOff = !['well', 'silent'].includes(this.manner);
		this.#runs.begin(req, res, () => breaksOff || (this.#closing && !res.writableFinished));
	}

	/** Records the head of an answer, unless it is one that its requester can't accept. */
	#noteHead(res: ServerResponse, manner: EngineManner): void {
		if (manner !== 'foreign' && manner !== 'unsigned') {
			this.#runs.noteHead(res);
		}
	}

	/** Answers in a manner that is no answer to the request; false if it is to be answered otherwise. */
	#misanswer(req: IncomingMessage, res: ServerResponse): boolean {
		const answers: Partial<Record<EngineManner, () => void>> = {
			reset() {
				req.socket.resetAndDestroy();
			},
			doubled: () => {
				this.#doubledRefusals.write(req);
			},
			bodiless: () => {
				const type = req.headers['token-counts'] === undefined ? 'text/plain' : 'text/event-stream';
				req.socket.end(`HTTP/1.1 200 OK\r\nRequest-Identifier: ${String(req.headers['request-identifier'])}\r\nServer-Signature: ${this.identifier}.sig\r\nContent-Type: ${type}\r\n\r\n`);
			},
			'stalled-body': () => {
				this.#noteHead(res, this.manner);
				res.writeHead(200, {
					'request-identifier': identifierOf(req), 'server-signature': `${this.identifier}.sig`, 'content-type': 'text/plain', 'content-length': stalledPart.length * 2,
				}).write(stalledPart);
			},
			nameless() {
				res.writeHead(503, {'not-executed': '1'}).end();
			},
		};
		const answer = answers[this.manner];
		answer?.();
		return answer !== undefined;
	}

	#leavingHeader(): OutgoingHttpHeaders {
		return this.leaving ? {'server-leaving': '1'} : {};
	}

	async #answerEndlessly(req: IncomingMessage, answer: EndlessAnswer): Promise<void> {
		const type = req.headers['token-counts'] === undefined ? 'application/json' : 'text/event-stream';
		const fields = `Request-Identifier: ${String(req.headers['request-identifier'])}\r\nServer-Signature: ${this.identifier}.sig\r\nContent-Type: ${type}\r\n`;
		this.endlessBytes.push(await answer.write(req.socket, fields));
	}

	#answerCall(res: ServerResponse, headers: OutgoingHttpHeaders): void {
		const isShort = this.manner === 'short';
		res.writeHead(200, {...headers, ...isShort ? {'content-type': 'application/json'} : {}});
		res.write(isShort ? '{"answer":' : this.callAnswer ?? `answer of ${this.identifier}`);
		res.end();
	}

	async #answerStream(req: IncomingMessage, res: ServerResponse, headers: OutgoingHttpHeaders): Promise<void> {
		const {lineBreak, manner} = this;
		res.writeHead(200, {...headers, 'content-type': 'text/event-stream'}).flushHeaders();
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		for (let id = first; id <= this.eventCount; id++) {
			const pauseMs = this.pauseBeforeMs?.({id, path: req.url!, isFirst: id === first}) ?? 0;
			if (pauseMs > 0) {
				res.flushHeaders();
				await sleep(pauseMs); // eslint-disable-line no-await-in-loop
			}

			if (res.destroyed || req.socket.destroyed) {
				return;
			}

			if (manner === 'cut' && id === first + 2) {
				res.write(`id: ${id}\ndata: half`);
				setTimeout(() => {
					req.socket.resetAndDestroy();
				}, 30);
				return;
			}

			if (manner === 'short' && id === first + 2) {
				res.end(`id: ${id}${lineBreak}data: half`);
				return;
			}

			const padding = this.eventPadding === 0 ? '' : `: ${'x'.repeat(this.eventPadding)}${lineBreak}`;
			res.write(`id: ${id}${this.eventIdSuffix}${lineBreak}data: piece ${id}${lineBreak}version: ${this.softwareVersion}${lineBreak}${padding}${lineBreak}`);
			this.#runs.noteProgress(res);
			if (this.workMs > 0) {
				await sleep(this.workMs); // eslint-disable-line no-await-in-loop
			}
		}

		res.end();
	}
}

/** Identifier of a request; empty if it names none, since a header of the answer needs a value. */
function identifierOf({headers}: IncomingMessage): string {
	return String(headers['request-identifier'] ?? '');
}
