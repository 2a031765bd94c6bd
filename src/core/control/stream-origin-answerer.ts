import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {StateBudget} from '../memory/state-budget.ts';
import type {StateMemory} from '../memory/state-memory.ts';
import type {TargetRegistry} from '../registry/target-registry.ts';
import type {BegunStream} from './begun-stream.ts';
import {BegunStreams} from './begun-streams.ts';
import type {ControlMessage} from './control-message.ts';
import {controlTiming} from './control-timing.ts';

/** Versions of a service that are named to an entry: two show as well as more that there is no only one. */
const namedVersions = 2;
/** Share of the memory for streams up to which this node remembers those that began before their entries heard that it is full. */
const lateShare = 1.25;

type AnswererOptions = {
	readonly registry: TargetRegistry;
	/** Owner of what is kept for callers. */
	readonly state: StateMemory;
	readonly outbox: Outbox;
	/** True if the whole deployment starts for the first time, so that no stream can have begun before. */
	readonly isNewDeployment: boolean;
	/** Whether this node is up to date with the replicated log, and so hears of targets in other regions. */
	readonly isCurrent: (now: Millis) => boolean;
};

/**
 * Answers entries that ask where a stream began. While all targets of a service have had one software version for as
 * long as a stream can be taken up, that version answers for streams that nobody has reported.
 */
export class StreamOriginAnswerer {
	readonly #options: AnswererOptions;
	readonly #streams: BegunStreams;
	readonly #budget: StateBudget;
	#startedAt: Millis | undefined;

	constructor(options: AnswererOptions) {
		this.#options = options;
		this.#budget = options.state.budget('stream-origins');
		this.#streams = new BegunStreams(this.#budget);
	}

	/** True if entries must let no further stream begin, since those that began take all of their memory. */
	get isFull(): boolean {
		return this.#budget.isFull;
	}

	handleBegun({streams}: ControlMessage & {type: 'streams-begun'}, now: Millis): void {
		// Entries hear of it with the next feed.
		for (const [callerKey, service, softwareVersion] of this.#budget.bytes < lateShare * this.#budget.maxBytes ? streams : []) {
			this.#streams.record(callerKey, {service, softwareVersion}, now);
		}
	}

	answer(from: NodeId, {requestId, callerKey, service}: ControlMessage & {type: 'find-stream'}, now: Millis): void {
		const stream = this.#streams.get(callerKey);
		const found = stream !== undefined || service === undefined
			? {stream}
			: {soleVersion: this.#soleVersion(service, now), versions: this.#options.registry.softwareVersions(service).slice(0, namedVersions)};
		this.#options.outbox.send(from, {part: 'control', body: {type: 'stream-found', requestId, ...found}});
	}

	tick(now: Millis): void {
		this.#startedAt ??= now;
		this.#streams.tick(now);
	}

	/** The service with its software version, if no target of it that may have begun a recent stream had another one. */
	#soleVersion(service: ServiceName, now: Millis): BegunStream | undefined {
		const {registry, isCurrent, isNewDeployment} = this.#options;
		const knowsRecentTargets = isNewDeployment || (this.#startedAt !== undefined && now - this.#startedAt > controlTiming.streamRetentionMs);
		if (!knowsRecentTargets || !isCurrent(now)) {
			return undefined;
		}

		const [softwareVersion, ...others] = registry.softwareVersions(service);
		return softwareVersion === undefined || others.length > 0 ? undefined : {service, softwareVersion};
	}
}
