import {isUtf8} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import process from 'node:process';
import type {CallAnswer} from '../../core/control/call-answer.ts';
import type {ControlCore} from '../../core/control/control-core.ts';
import type {ControlEvent} from '../../core/control/control-event.ts';
import type {OperatorCall} from '../../core/control/operator-call.ts';
import type {Millis} from '../../core/ids/millis.ts';
import type {Region} from '../../core/ids/region.ts';
import type {TargetId} from '../../core/ids/target-id.ts';
import type {TargetReport} from '../../core/registry/target-report.ts';
import {documentProblems} from '../../core/routes/document-problems.ts';
import {constants} from '../../settings/constants.ts';
import {BodyError} from '../body-error.ts';
import type {EventLog} from '../event-log.ts';
import {BodyHold} from '../body-hold.ts';
import {CallerPresence} from '../caller-presence.ts';
import type {ProcessMemory} from '../process-memory.ts';
import {hasTooManyValues} from '../has-too-many-values.ts';
import {readBody} from '../read-body.ts';
import type {ControlCodec} from './control-codec.ts';
import {HttpServer} from './http-server.ts';

type HostPort = {readonly host: string; readonly port: number};

type ControlServersOptions = {
	readonly operators: HostPort;
	/** Regions of the deployment; undefined if the settings name none. */
	readonly regions?: ReadonlySet<Region>;
	readonly directory: HostPort;
	readonly directoryTtlMs: number;
	/** Bounds on what the requests of the whole process hold. */
	readonly memory: ProcessMemory;
	readonly codec: ControlCodec;
	readonly core: ControlCore;
	readonly step: (event: ControlEvent) => void;
	readonly now: () => Millis;
	readonly log: EventLog;
	/** Called with an error that a handler throws. */
	readonly onError: (error: Error) => void;
};

const stoppingAnswer: CallAnswer = {type: 'unavailable', reason: 'this control node stops'};
const abandonedAnswer: CallAnswer = {type: 'unavailable', reason: 'the caller has moved on'};
const bodyErrorStatuses: Readonly<Record<string, number>> = {tooLarge: 413, slowCaller: 408, overloaded: 503};
/** `Retry-After` of a call that the control nodes could not process, in seconds. */
const operatorRetryAfterSeconds = 1;

/** The HTTP servers of a control node: one for targets and operators, and the directory, from which callers get the addresses of entries. */
export class ControlServers {
	readonly #options: ControlServersOptions;
	readonly #servers: readonly HttpServer[];
	/** The last report on each connection. */
	readonly #lastReports = new WeakMap<Socket, TargetReport>();
	readonly #pendingCalls = new Map<string, (answer: CallAnswer) => void>();
	#lastCallNumber = 0;
	#stopping = false;

	constructor(options: ControlServersOptions) {
		this.#options = options;
		const {onError, memory} = options;
		this.#servers = [
			new HttpServer({
				key: 'listen.operators', listen: options.operators, kind: 'operators', memory, onError, handle: async (req, res) => this.#handleControlCall(req, res),
			}),
			new HttpServer({
				key: 'listen.directory',
				listen: options.directory,
				kind: 'directory',
				memory,
				onError,
				handle: (req, res) => {
					this.#handleDirectoryQuery(req, res);
				},
			}),
		];
	}

	async open(): Promise<void> {
		for (const server of this.#servers) {
			await server.open(); // eslint-disable-line no-await-in-loop
		}
	}

	/** Stops accepting connections and closes those on which nothing is answered; new calls on the others are answered as unavailable. */
	async stopAccepting(): Promise<void> {
		this.#stopping = true;
		await Promise.all(this.#servers.map(async server => server.stopListening()));
	}

	/** Resolves once no call is read or answered. */
	async idle(): Promise<void> {
		await Promise.all(this.#servers.map(async server => server.idle()));
	}

	/** Answers the calls that the core has not answered: their outcome is unknown. */
	abandonCalls(): void {
		for (const callId of this.#pendingCalls.keys()) {
			this.resolveCall(callId, stoppingAnswer);
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.#servers.map(async server => server.close()));
	}

	resolveCall(callId: string, answer: CallAnswer): void {
		const resolve = this.#pendingCalls.get(callId);
		this.#pendingCalls.delete(callId);
		resolve?.(answer);
	}

	#handleDirectoryQuery(req: IncomingMessage, res: ServerResponse): void {
		const {codec, core, now, directoryTtlMs} = this.#options;
		const query = codec.readDirectoryQuery(req.url ?? '');
		if (query === undefined) {
			res.writeHead(404).end();
			return;
		}

		const addresses = core.addresses(query, now());
		if (addresses.length === 0) {
			res.writeHead(503).end();
			return;
		}

		sendText(res, 200, codec.writeDirectoryAnswer(addresses, directoryTtlMs));
	}

	async #handleControlCall(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {codec, step, core, now} = this.#options;
		const receivedAt = now();
		const call = codec.readCall(req.method ?? '', req.url ?? '');
		if (call === undefined) {
			res.writeHead(404).end();
			return;
		}

		const body = await this.#readBody(req, res, call.type === 'report' ? constants.maxReportBytes : constants.maxControlBodyBytes);
		if (body === undefined) {
			return;
		}

		switch (call.type) {
			case 'put-document': {
				await this.#putDocument(body, res, receivedAt);
				break;
			}

			case 'read-document': {
				const answer = await this.#callCore({type: 'read'});
				if (answer.type === 'document' && answer.document !== undefined) {
					sendText(res, 200, answer.document.text);
				} else {
					this.#sendUnavailable(res, answer);
				}

				break;
			}

			case 'evacuation': {
				const {zone, active} = call;
				const presence = new CallerPresence(res);
				const basis = core.evacuationBasis(zone);
				const isPresent = await presence.confirmSettled();
				const answer = isPresent
					? await this.#callCore({type: 'change', command: {type: 'evacuation', zone, active}}, {receivedAt, presence})
					: abandonedAnswer;
				this.#logCall(res, receivedAt, {
					call: 'evacuation', zone, active, basis, answer,
				});
				this.#acknowledge(res, answer);
				break;
			}

			case 'report': {
				const report = codec.readReport(call.targetId, body);
				if (report === undefined) {
					this.#options.memory.turnedAway('unusable-report');
					sendText(res, 400, '{"error":"the report cannot be used"}');
					break;
				}

				if (this.#refuseUnknown(report.targetId, res)) {
					break;
				}

				this.#lastReports.set(req.socket, report);
				step({type: 'report', report});
				sendText(res, 200, codec.writeReportAnswer(core.reportAddress(report.zone, now())));
				break;
			}

			case 'withdraw': {
				await this.#withdraw(call.targetId, res);
				break;
			}
		}
	}

	/**
	 * Withdraws the incarnation that reported on the same connection. On any other connection the call tells no incarnation:
	 * it is that of the target that waits for the answer, and unknown once it has left.
	 */
	async #withdraw(targetId: TargetId, res: ServerResponse): Promise<void> {
		const {step, log} = this.#options;
		const last = this.#lastReports.get(res.req.socket);
		const born = last?.targetId === targetId ? last.born : undefined;
		if (born === undefined && !(await new CallerPresence(res).confirmSettled())) {
			log.write('withdrawal-dropped', {target: targetId});
			this.#sendUnavailable(res, abandonedAnswer);
			return;
		}

		if (!this.#refuseUnknown(targetId, res)) {
			step({
				type: 'withdraw', targetId, born, wallClock: Date.now(),
			});
			sendText(res, 200, '{}');
		}
	}

	/** Refuses what a target that is not known sends, if there is no memory for it; returns whether it did. */
	#refuseUnknown(targetId: TargetId, res: ServerResponse): boolean {
		const {core, memory} = this.#options;
		if (core.hasRoomFor(targetId)) {
			return false;
		}

		memory.turnedAway('too-many-targets');
		res.setHeader('Retry-After', String(operatorRetryAfterSeconds));
		sendText(res, 503, '{"error":"too many targets have reported"}');
		return true;
	}

	async #putDocument(text: string, res: ServerResponse, receivedAt: Millis): Promise<void> {
		const {codec, log} = this.#options;
		const parsed = codec.parseDocument(text);
		const problems = 'problems' in parsed ? parsed.problems : documentProblems(parsed.document, {regions: this.#options.regions});
		if ('problems' in parsed || problems.length > 0) {
			log.write('document-refused', {problems: problems.slice(0, 3)});
			sendText(res, 400, JSON.stringify({error: 'the document is invalid', problems}));
			return;
		}

		const {version} = parsed.document;
		const answer = await this.#callCore({type: 'change', command: {type: 'document', document: {version, text}}});
		this.#logCall(res, receivedAt, {call: 'put-document', version, answer});
		this.#acknowledge(res, answer);
	}

	/** Logs what an operator's call did here; `ageMs` and `callerLeft` tell a late call from one whose operator waits. */
	#logCall(res: ServerResponse, receivedAt: Millis, fields: Readonly<Record<string, unknown>>): void {
		this.#options.log.write('operator-call', {...fields, ageMs: Math.round(this.#options.now() - receivedAt), callerLeft: new CallerPresence(res).hasLeft});
	}

	#acknowledge(res: ServerResponse, answer: CallAnswer): void {
		if (answer.type === 'accepted') {
			sendText(res, 200, '{}');
			return;
		}

		this.#sendUnavailable(res, answer);
	}

	#sendUnavailable(res: ServerResponse, answer: CallAnswer): void {
		const reason = answer.type === 'unavailable' ? answer.reason : 'there is no document yet';
		res.setHeader('Retry-After', String(operatorRetryAfterSeconds));
		sendText(res, 503, JSON.stringify({error: reason}));
	}

	/** Passes a call on to the core; with `presence` it is abandoned once its operator leaves. */
	async #callCore(call: OperatorCall, {receivedAt, presence}: {receivedAt?: Millis; presence?: CallerPresence} = {}): Promise<CallAnswer> {
		if (this.#stopping) {
			return stoppingAnswer;
		}

		this.#lastCallNumber += 1;
		const callId = `${process.pid}-${Date.now()}-${this.#lastCallNumber}`;
		return new Promise(resolve => {
			this.#pendingCalls.set(callId, resolve);
			presence?.onceEnded(left => {
				if (left && this.#pendingCalls.has(callId)) {
					this.#options.step({type: 'call-abandoned', callId});
					this.resolveCall(callId, abandonedAnswer);
				}
			});
			this.#options.step({
				type: 'call', callId, call, receivedAt,
			});
		});
	}

	async #readBody(req: IncomingMessage, res: ServerResponse, maxBytes: number): Promise<string | undefined> {
		try {
			const body = await readBody(req, maxBytes, new BodyHold(this.#options.memory, req, res));
			if (!isUtf8(body)) {
				this.#options.log.write('body-refused', {path: req.url, reason: 'not UTF-8'});
				sendText(res, 400, JSON.stringify({error: 'the body is not UTF-8: send it whole and unchanged'}));
				return undefined;
			}

			const text = body.toString('utf8');
			if (hasTooManyValues(text)) {
				this.#options.memory.turnedAway('too-many-values');
				sendText(res, 400, JSON.stringify({error: 'the body has too many values: send fewer'}));
				return undefined;
			}

			return text;
		} catch (error) {
			if (!(error instanceof BodyError)) {
				throw error;
			}

			if (error.result === 'overloaded') {
				res.setHeader('Retry-After', String(operatorRetryAfterSeconds));
			}

			if (!res.destroyed) {
				// The rest of the body is not read.
				res.setHeader('Connection', 'close');
				sendText(res, bodyErrorStatuses[error.result] ?? 413, JSON.stringify({error: error.message}));
			}

			return undefined;
		}
	}
}

function sendText(res: ServerResponse, status: number, body: string): void {
	if (!res.destroyed) {
		res.writeHead(status, {'content-type': 'application/json'}).end(body);
	}
}
