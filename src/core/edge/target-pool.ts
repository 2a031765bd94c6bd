import {hash32} from '../common/hash32.ts';
import {CostBook} from '../cost/cost-book.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';
import {StateMemory} from '../memory/state-memory.ts';
import type {ListedTarget} from '../registry/listed-target.ts';
import {TargetSuspension} from '../targets/target-suspension.ts';
import type {LeavingTarget} from './leaving-target.ts';
import {PooledTarget} from './pooled-target.ts';

/** Time after which a target that is lost or leaves is removed, in milliseconds: control nodes, which tell of no removal, forget it after as long a silence. */
const goneRetentionMs = 60_000;
/** Time for which it is remembered that a target that is no longer listed leaves, in milliseconds. */
const unlistedRetentionMs = 600_000;
/** Most targets that are remembered after they were listed. */
const maxUnlisted = 2048;

/** Fewest failures of a service's other targets, by their present weight, that are held against the failures of one. */
const minOtherFailures = 1;
/** Factor by which the share of broken attempts of an outlier exceeds that of the others. */
const minOutlierFactor = 3;

type UnlistedTarget = {readonly born: number; readonly suspension: TargetSuspension; readonly removedAt: Millis};

/** The targets of this entry's region. */
export class TargetPool {
	/** Learned costs of the services. */
	readonly costs: CostBook;
	readonly #targets = new Map<TargetId, PooledTarget>();
	/** Targets of each service in the order of their ids; cleared when listings change. */
	readonly #sorted = new Map<ServiceName, readonly PooledTarget[]>();
	/** Suspensions that outlast a listing: a control node that has just started may not list a target, and then list it again. */
	readonly #unlisted = new Map<TargetId, UnlistedTarget>();
	readonly #self: NodeId;
	readonly #maxPauseMs: number | undefined;
	readonly #state: StateMemory;
	#evacuated: ReadonlySet<Zone> = new Set();

	/** @param self - this entry; entries differ in their phases of a target's limit. `maxPauseMs`: longest pause that a target may ask for; `costs`: those of its services; `state`: owner of what is kept for callers. */
	constructor(self: NodeId, {maxPauseMs, costs = new CostBook(), state = new StateMemory()}: {maxPauseMs?: number; costs?: CostBook; state?: StateMemory} = {}) {
		this.costs = costs;
		this.#self = self;
		this.#maxPauseMs = maxPauseMs;
		this.#state = state;
	}

	/** Takes listings of control. If `whole`, they are the complete list, and other targets are removed once they have no attempts; so are targets that have been gone for long. */
	update(listed: readonly ListedTarget[], whole: boolean, now: Millis): void {
		if (listed.length > 0 || whole) {
			this.#sorted.clear();
		}

		for (const target of listed) {
			this.#merge(target, now);
		}

		const listedIds = new Set(listed.map(({targetId}) => targetId));
		for (const [targetId, target] of this.#targets) {
			const isUnlisted = whole && !listedIds.has(targetId);
			const isGone = target.goneSince !== undefined && now - target.goneSince > goneRetentionMs;
			if ((isUnlisted || isGone) && target.attempts.size === 0) {
				this.#remove(target, now);
			}
		}

		this.#forgetUnlisted(now);
	}

	recordHeartbeats(heartbeats: ReadonlyArray<readonly [TargetId, number]>): void {
		for (const [targetId, sequence] of heartbeats) {
			this.#targets.get(targetId)?.recordHeartbeat(sequence);
		}
	}

	/** Records that a connection to an address was reset; returns the targets that were not in doubt before. */
	doubtIncarnationsAt(address: string): readonly TargetId[] {
		const doubted = [...this.#targets.values()].filter(({listed}) => listed.address === address);
		const confirmed = doubted.filter(({isConfirmed}) => isConfirmed);
		for (const target of doubted) {
			target.doubtIncarnation();
		}

		return confirmed.map(({listed}) => listed.targetId);
	}

	setEvacuatedZones(zones: readonly Zone[]): void {
		this.#evacuated = new Set(zones);
	}

	/** Listings of all targets, whatever their state. */
	listings(): readonly ListedTarget[] {
		return [...this.#targets.values()].map(({listed}) => listed);
	}

	/** Targets that serve by their listings. */
	* serving(now: Millis): Iterable<PooledTarget> {
		for (const target of this.#targets.values()) {
			if (target.isServing(now)) {
				yield target;
			}
		}
	}

	/** True if a target of the service is listed, whatever its state. */
	knows(service: ServiceName): boolean {
		return this.#targetsOf(service).length > 0;
	}

	get(targetId: TargetId): PooledTarget | undefined {
		return this.#targets.get(targetId);
	}

	/** Targets of a service that may get new requests, outside evacuated zones. */
	usable(service: ServiceName, now: Millis): readonly PooledTarget[] {
		return this.#targetsOf(service).filter(target => target.usable(now) && !this.#evacuated.has(target.listed.zone));
	}

	/** True if a target of the service may get new requests. */
	hasUsable(service: ServiceName, now: Millis): boolean {
		return this.#targetsOf(service).some(target => target.usable(now) && !this.#evacuated.has(target.listed.zone));
	}

	/** Targets of a service, outside evacuated zones, that only failed requests keep from getting new ones. */
	suspected(service: ServiceName, now: Millis): readonly PooledTarget[] {
		return this.#targetsOf(service).filter(target => target.isSuspected(now) && !this.#evacuated.has(target.listed.zone));
	}

	/**
	 * True if a target breaks off more of its attempts than the other targets of its service together. Requests that break
	 * off wherever they run say nothing of a target.
	 */
	isOutlier(target: PooledTarget, now: Millis): boolean {
		let failures = 0;
		let outcomes = 0;
		for (const other of this.#targetsOf(target.listed.service)) {
			if (other !== target) {
				const counts = other.breakShare.counts(now);
				failures += counts.failures;
				outcomes += counts.outcomes;
			}
		}

		const own = target.breakShare.counts(now);
		return failures < minOtherFailures || own.failures / own.outcomes > minOutlierFactor * failures / outcomes;
	}

	/** Targets of a service, outside evacuated zones, that only a pause keeps from getting new requests. */
	paused(service: ServiceName, now: Millis): readonly PooledTarget[] {
		return this.#targetsOf(service).filter(target => target.isPaused(now) && !this.#evacuated.has(target.listed.zone));
	}

	/** Records that an incarnation of a target leaves, whether or not it is listed; returns whether that is news. */
	recordLeaving({targetId, born}: LeavingTarget, now: Millis): boolean {
		const target = this.#targets.get(targetId);
		if (target !== undefined && target.listed.born >= born) {
			return target.listed.born === born && target.suspension.leave();
		}

		const known = this.#unlisted.get(targetId);
		if (known !== undefined && known.born >= born) {
			return known.born === born && known.suspension.leave();
		}

		const suspension = new TargetSuspension({maxPauseMs: this.#maxPauseMs});
		this.#unlisted.set(targetId, {born, suspension, removedAt: now});
		return suspension.leave();
	}

	/** Takes all targets of a service for brittle, as one of them says it is; the others may not have answered yet. */
	assumeBrittle(service: ServiceName, rejectionsPerSecond: number, now: Millis): void {
		for (const target of this.#targetsOf(service)) {
			target.assumeBrittle(rejectionsPerSecond, now);
		}
	}

	/** True if a service has targets in use that this entry can't reach, and none that it can. */
	isCutOff(service: ServiceName, now: Millis): boolean {
		const serving = this.#targetsOf(service).filter(target => target.isServing(now) && !this.#evacuated.has(target.listed.zone));
		return serving.length > 0 && serving.every(({reachability}) => !reachability.reachable);
	}

	/** Partition of a service's targets that the placer with number `index` of `count` fills first: every `count`-th target. Empty if `index` is -1. */
	partition(service: ServiceName, {count, index}: {count: number; index: number}): ReadonlySet<PooledTarget> {
		if (index === -1) {
			return new Set();
		}

		const sorted = this.#sorted.get(service) ?? this.#targetsOf(service).sort((left, right) => left.listed.targetId < right.listed.targetId ? -1 : 1);
		this.#sorted.set(service, sorted);
		return new Set(sorted.filter((_, position) => position % count === index));
	}

	#targetsOf(service: ServiceName): PooledTarget[] {
		return [...this.#targets.values()].filter(({listed}) => listed.service === service);
	}

	#remove(target: PooledTarget, now: Millis): void {
		const {listed: {targetId, born}, suspension} = target;
		this.#targets.delete(targetId);
		target.prefixCache.clear();
		this.#sorted.clear();
		if (suspension.remainingMs(now) > 0) {
			this.#unlisted.set(targetId, {born, suspension, removedAt: now});
		}
	}

	/** Suspension of this incarnation from before it was listed anew, if there is one. */
	#takeUnlisted({targetId, born}: ListedTarget): TargetSuspension | undefined {
		const known = this.#unlisted.get(targetId);
		this.#unlisted.delete(targetId);
		return known?.born === born ? known.suspension : undefined;
	}

	#forgetUnlisted(now: Millis): void {
		for (const [targetId, {suspension, removedAt}] of this.#unlisted) {
			if (suspension.remainingMs(now) === 0 || now - removedAt > unlistedRetentionMs || this.#unlisted.size > maxUnlisted) {
				this.#unlisted.delete(targetId);
			}
		}
	}

	#merge(listed: ListedTarget, now: Millis): void {
		const known = this.#targets.get(listed.targetId);
		if ((this.#unlisted.get(listed.targetId)?.born ?? Number.NEGATIVE_INFINITY) > listed.born) {
			// A report of an earlier incarnation that was delayed.
			return;
		}

		if (known === undefined) {
			const target = new PooledTarget(listed, {
				phase: hash32(`${this.#self}:${listed.targetId}`) / (2 ** 32),
				maxPauseMs: this.#maxPauseMs,
				suspension: this.#takeUnlisted(listed),
				costs: this.costs.of(listed.service),
				state: this.#state,
			}, now);
			// A brittle target that fell over is back as another one, and has not answered yet.
			const brittle = this.#targetsOf(listed.service).find(({rejectionsPerSecond}) => rejectionsPerSecond !== undefined);
			if (brittle !== undefined) {
				target.assumeBrittle(brittle.rejectionsPerSecond!, now);
			}

			this.#targets.set(listed.targetId, target);
			return;
		}

		const {born, sequence} = known.listed;
		const older = listed.born < born || (listed.born === born && listed.sequence < sequence && listed.state !== 'leaving');
		if (older) {
			return;
		}

		known.update(listed, now, listed.born === born ? undefined : this.#takeUnlisted(listed));
	}
}
