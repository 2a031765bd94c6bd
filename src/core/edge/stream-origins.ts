import type {ActionQueue} from '../action-queue.ts';
import {AwakeClock} from '../common/awake-clock.ts';
import type {BegunStream} from '../control/begun-stream.ts';
import {BegunStreams} from '../control/begun-streams.ts';
import type {ControlMessage} from '../control/control-message.ts';
import {controlTiming} from '../control/control-timing.ts';
import type {CallerKey} from '../ids/caller-key.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import {CountedMap} from '../memory/counted-map.ts';
import type {StateBudget} from '../memory/state-budget.ts';
import type {StateMemory} from '../memory/state-memory.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {RequestRecord} from './request-record.ts';
import type {ServiceVersions} from './service-versions.ts';
import {softwareVersionOf} from './software-version-of.ts';

/** Who knew where a stream began: this entry, a control node that was told, or either of them because the service has had no other version; or nobody. */
type OriginSource = 'own' | 'control' | 'sole-version' | 'unknown';

/** Streams in one report to control, and reports that are sent at a time. */
const maxStreamsPerReport = 1000;
const maxReportsAtOnce = 20;

/** Called once it is known where the request's stream began, or with the reason to refuse the request. */
type Located = (refusal: EdgeRefusal['reason'] | undefined, now: Millis) => void;

type Query = {
	readonly record: RequestRecord;
	/** Time of its sending, on the clock that stops with this process. */
	readonly sentAt: Millis;
	readonly unanswered: Set<NodeId>;
	readonly located: Located;
	/** True once a control node has answered. */
	isAnswered: boolean;
	/** Software versions of the service that are known. */
	readonly versions: Set<SoftwareVersion>;
	/** The only software version of the service, as far as this entry or a control node knows. */
	sole?: BegunStream;
};

type StreamOriginsOptions = {
	readonly queue: ActionQueue<EdgeAction>;
	readonly versions: ServiceVersions;
	/** Owner of what is kept for callers. */
	readonly state: StateMemory;
	/** The control node that is told of streams. */
	readonly primary: () => NodeId | undefined;
	/** The control nodes that are asked. */
	readonly controlNodes: () => readonly NodeId[];
};

/**
 * Keeps track of where streams began, so that a stream goes on at the software version that began it.
 *
 * A caller whose connection broke comes back through any entry, often because the one before was killed. Each entry
 * therefore tells its control node of the streams that begin at it, and asks all control nodes about those it doesn't know.
 */
export class StreamOrigins {
	readonly #options: StreamOriginsOptions;
	readonly #awake = new AwakeClock();
	readonly #streams: BegunStreams;
	readonly #queries = new Map<RequestId, Query>();
	/** Those of `#streams` that control was not told of. */
	readonly #unreported: CountedMap<CallerKey, BegunStream>;
	readonly #budget: StateBudget;
	#reportedAt = Number.NEGATIVE_INFINITY;
	/** The run of the control node that was told of all streams. */
	#toldEpoch: string | undefined;
	#isControlFull = false;

	constructor(options: StreamOriginsOptions) {
		this.#options = options;
		const budget = options.state.budget('stream-origins');
		this.#budget = budget;
		this.#streams = new BegunStreams(budget);
		this.#unreported = new CountedMap({budget, whenFull: 'keep'});
	}

	/** True if no further stream may begin, since those that began take all of their memory, here or at the control node that is told of them. */
	get isFull(): boolean {
		return this.#budget.isFull || this.#isControlFull;
	}

	/** Records where a request's stream began, when its first event has been passed on. An entry that runs it for another one leaves that to it: the event may not get there, and the stream may then begin elsewhere. */
	recordFirstEvent(record: RequestRecord, now: Millis): void {
		if (record.origin !== undefined) {
			return;
		}

		const {req: {callerKey, forwarded}, service} = record;
		const softwareVersion = softwareVersionOf(record.running!);
		record.origin = {softwareVersion};
		if (softwareVersion !== undefined && callerKey !== '' && forwarded === undefined) {
			this.#streams.record(callerKey, {service, softwareVersion}, now);
			this.#unreported.set(callerKey, {service, softwareVersion});
		}
	}

	/** Finds out where the stream began that a request takes up: at once if this entry knows it, else once all control nodes have answered or their time is up. */
	locate(record: RequestRecord, located: Located, now: Millis): void {
		const {req: {requestId}} = record;
		const callerKey = keyOf(record);
		const own = this.#streams.get(callerKey);
		const nodes = this.#options.controlNodes();
		const service = onlyServiceOf(record);
		const softwareVersion = service && this.#options.versions.sole(service, now);
		const query: Query = {
			record,
			sentAt: this.#awake.step(now),
			unanswered: new Set(nodes),
			isAnswered: false,
			located,
			versions: new Set(softwareVersion === undefined ? [] : [softwareVersion]),
			sole: service === undefined || softwareVersion === undefined ? undefined : {service, softwareVersion},
		};
		if (own !== undefined) {
			this.#resolve(query, own, 'own', now);
			return;
		}

		this.#queries.set(requestId, query);
		for (const nodeId of nodes) {
			this.#options.queue.send(nodeId, {
				part: 'control',
				body: {
					type: 'find-stream', requestId, callerKey, service,
				},
			});
		}
	}

	/** Drops the query of a request that has ended. */
	cancel(requestId: RequestId): void {
		this.#queries.delete(requestId);
	}

	handleAnswer(from: NodeId, {requestId, stream, soleVersion, versions = []}: ControlMessage & {type: 'stream-found'}, now: Millis): void {
		const query = this.#queries.get(requestId);
		if (query === undefined) {
			return;
		}

		query.unanswered.delete(from);
		query.isAnswered = true;
		if (stream !== undefined) {
			this.#resolve(query, stream, 'control', now);
			return;
		}

		query.sole ??= soleVersion;
		for (const version of soleVersion === undefined ? versions : [...versions, soleVersion.softwareVersion]) {
			query.versions.add(version);
		}

		if (query.unanswered.size === 0) {
			this.#conclude(query, now);
		}
	}

	/** Takes what the control node that is told of streams says. One that has started, or is followed newly, is told of all streams that it may be asked about. */
	handleFeed({epoch, streamsFull}: Pick<ControlMessage & {type: 'feed'}, 'epoch' | 'streamsFull'>): void {
		this.#isControlFull = streamsFull ?? false;
		if (epoch !== this.#toldEpoch) {
			this.#toldEpoch = epoch;
			for (const [callerKey, stream] of this.#streams.list()) {
				this.#unreported.set(callerKey, stream);
			}
		}
	}

	tick(now: Millis): void {
		this.#streams.tick(now);
		this.#forgetUnreported();
		this.#concludeLate(now);
		if (now - this.#reportedAt >= controlTiming.streamReportIntervalMs) {
			this.#report(now);
		}
	}

	/** Ends the queries whose time is up; not in the first tick after a standstill, since answers may wait unread. */
	#concludeLate(now: Millis): void {
		const {lostMs} = this.#awake;
		const awakeAt = this.#awake.step(now);
		if (this.#awake.lostMs > lostMs) {
			return;
		}

		for (const query of this.#queries.values()) {
			if (awakeAt - query.sentAt > controlTiming.streamQueryTimeoutMs) {
				this.#conclude(query, now);
			}
		}
	}

	#report(now: Millis): void {
		const primary = this.#options.primary();
		if (primary === undefined || this.#unreported.size === 0) {
			return;
		}

		this.#reportedAt = now;
		for (let sent = 0; sent < maxReportsAtOnce && this.#unreported.size > 0; sent++) {
			this.#options.queue.send(primary, {part: 'control', body: {type: 'streams-begun', streams: this.#takeUnreported()}});
		}
	}

	#takeUnreported(): ReadonlyArray<readonly [CallerKey, ServiceName, SoftwareVersion]> {
		const streams: Array<readonly [CallerKey, ServiceName, SoftwareVersion]> = [];
		for (const [callerKey, {service, softwareVersion}] of this.#unreported) {
			if (streams.length >= maxStreamsPerReport) {
				break;
			}

			this.#unreported.delete(callerKey);
			streams.push([callerKey, service, softwareVersion]);
		}

		return streams;
	}

	/** Forgets streams that control was not told of, as no control node was reached, once they can no longer be taken up. */
	#forgetUnreported(): void {
		for (const [callerKey] of this.#unreported) {
			if (this.#streams.get(callerKey) !== undefined) {
				return;
			}

			this.#unreported.delete(callerKey);
		}
	}

	/**
	 * Ends a query that no control node answered with the stream. What each of them has heard may be behind, so an only
	 * version counts unless one knows another. Without any answer it doesn't count: this entry may be cut off or have
	 * stood still, and not have heard of a version that has come up since.
	 */
	#conclude(query: Query, now: Millis): void {
		const {sole, versions, isAnswered} = query;
		if (isAnswered && sole !== undefined && versions.size === 1) {
			this.#resolve(query, sole, 'sole-version', now);
		} else {
			this.#resolve(query, undefined, 'unknown', now);
		}
	}

	/** Ends a query. A stream stays with the service that began it, if the route still leads there. */
	#resolve({record, located}: Query, stream: BegunStream | undefined, source: OriginSource, now: Millis): void {
		const {req, route} = record;
		this.#queries.delete(req.requestId);
		const isAllowed = stream !== undefined && route.split.some(({service}) => service === stream.service);
		this.#options.queue.count('resumes', source);
		this.#options.queue.event('stream-origin', {
			request: req.callerKey, resumes: keyOf(record), source, ...stream, allowed: isAllowed, afterMs: Math.round(now - req.arrivedAt),
		});
		if (!isAllowed) {
			located(stream === undefined ? 'origin-unknown' : 'no-target', now);
			return;
		}

		record.service = stream.service;
		record.origin = {softwareVersion: stream.softwareVersion};
		located(undefined, now);
	}
}

/** The caller's id of the request that brought the stream's first event; an entry that forwards a stream within one answer keeps the id of that request. */
function keyOf({req: {callerKey, resumes}}: RequestRecord): CallerKey {
	return resumes ?? callerKey;
}

/** The service that must have begun the stream; undefined if the route has several, or if the stream may be older than what is remembered of targets. */
function onlyServiceOf({route: {split, timeoutMs}}: RequestRecord): ServiceName | undefined {
	return split.length === 1 && timeoutMs <= controlTiming.streamRetentionMs ? split[0]!.service : undefined;
}
