import {AwakeClock} from '../common/awake-clock.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import type {AttemptOutcome} from './attempt-outcome.ts';
import {decodeLoads} from './decode-loads.ts';
import {isLater} from './is-later.ts';
import type {LoadUpdate} from './load-update.ts';
import {OutlierEjector} from './outlier-ejector.ts';
import {equalExceptLoad} from './equal-except-load.ts';
import type {ProbeAction} from './probe-action.ts';
import {Reachability} from './reachability.ts';
import {recordTargetNotice} from './record-target-notice.ts';
import type {ServiceSummary} from './service-summary.ts';
import {summarizeTargets} from './summarize-targets.ts';
import {TargetGossip} from './target-gossip.ts';
import type {TargetNotice} from './target-notice.ts';
import {TargetProber} from './target-prober.ts';
import {TargetRecord} from './target-record.ts';
import {TargetStore} from './target-store.ts';
import type {TargetTable} from './target-table.ts';
import type {TargetView} from './target-view.ts';
import type {TargetsMessage} from './targets-message.ts';

/** Time since a target's last announcement after which it gets no new work, in milliseconds. */
const leaseMs = 3000;

/** Remaining lease time below which other entries are asked for a later load, in milliseconds. */
const leaseRefreshMs = 1000;

/** Interval at which targets whose lease ended long ago are removed, in milliseconds. */
const pruneEveryMs = 10_000;

type RegionalTargetTableOptions = {
	readonly self: NodeId;
	/** The other entries of this region. */
	readonly entries: () => readonly NodeId[];
	readonly outbox: Outbox;
	readonly random: Random;
	readonly emit: (action: ProbeAction) => void;
};

/** The targets of this node's region, each with a lease that announcements renew, kept in sync with the region's other entries by gossip. */
export class RegionalTargetTable implements TargetTable {
	readonly #outbox: Outbox;
	readonly #awake = new AwakeClock();
	readonly #gossip: TargetGossip;
	readonly #store = new TargetStore();
	readonly #ejectors = new Map<string, OutlierEjector>();
	readonly #prober: TargetProber;
	#lost = new Set<TargetId>();
	#pruneAt = 0 as Millis;

	constructor(options: RegionalTargetTableOptions) {
		this.#outbox = options.outbox;
		this.#gossip = new TargetGossip(options);
		this.#prober = new TargetProber({
			...options, targets: now => this.#probedTargets(now), reachability: targetId => this.#store.get(targetId)?.reachability,
		});
	}

	announce(announcement: Announcement, now: Millis): 'accepted' | 'stale' {
		const known = this.#store.get(announcement.targetId);
		if (known && !isLater(announcement, known.announcement)) {
			this.#outbox.count('stale_messages', 'announcement');
			return 'stale';
		}

		this.#outbox.count('announcements', announcement.state);
		this.#applyAnnouncement(announcement, now, true, now);
		return 'accepted';
	}

	handle(from: NodeId, message: TargetsMessage, now: Millis): void {
		if (!this.#gossip.peers().includes(from)) {
			return;
		}

		switch (message.type) {
			case 'digest': {
				for (const {announcement, ageMs} of message.records) {
					this.#applyRelayed(announcement, ageMs, now);
				}

				for (const load of decodeLoads(message.loads)) {
					this.#applyLoad(load, now);
				}

				break;
			}

			case 'leaving': {
				this.#applyRelayed(message.record.announcement, message.record.ageMs, now);
				break;
			}

			case 'pull': {
				this.#gossip.sendDigestTo(from, {
					fullRecords: this.#leasedByHandle(message.unknown, now),
					loads: this.#leasedByHandle(message.known, now),
				}, now);
				break;
			}
		}
	}

	tick(now: Millis): void {
		this.#awake.step(now);
		const entryCount = this.#gossip.peers().length + 1;
		for (const record of this.#store.all()) {
			this.#checkLease(record, entryCount, now);
		}

		this.#prober.tick(now);
		this.#gossip.tick(now);
		if (now >= this.#pruneAt) {
			this.#pruneAt = now + pruneEveryMs as Millis;
			this.#store.prune(now);
		}
	}

	serving(service: {firm: string; deployment: string; service: string}, model: string | undefined, now: Millis): readonly TargetView[] {
		return this.#store.getByService(this.#store.serviceKey(service)).filter(record =>
			this.#leased(record, now)
			&& !record.suspension.leaving
			&& (model === undefined || record.announcement.models.includes(model)));
	}

	get(targetId: TargetId, now: Millis): TargetView | undefined {
		const record = this.#store.get(targetId);
		return record && this.#leased(record, now) ? record : undefined;
	}

	all(now: Millis): readonly TargetView[] {
		return [...this.#store.all()].filter(record => this.#leased(record, now));
	}

	recordStart(targetId: TargetId, work: {promptTokens: number; outputTokens: number; prefixBlocks: readonly string[]}, now: Millis): void {
		const record = this.#store.get(targetId);
		if (record?.inFlight === 0) {
			record.lastSignAt = now;
		}

		record?.inFlightHistory.start(work.outputTokens, now);
		record?.cachedBlockEstimate.recordUse(work.prefixBlocks);
	}

	recordOutcome(targetId: TargetId, outcome: AttemptOutcome, now: Millis): void {
		const record = this.#store.get(targetId);
		if (!record) {
			return;
		}

		record.speedEstimate.update(outcome, record.announcement.kind, record.utilization);
		record.inFlightHistory.end(outcome.predictedOutputTokens, now);
		this.#updateEjection(record, outcome, now);
	}

	recordConnection(targetId: TargetId, reachable: boolean, now: Millis): void {
		this.#prober.recordConnection(targetId, reachable, now);
	}

	recordNotice(targetId: TargetId, {incarnation, notice, request}: {incarnation: number; notice: TargetNotice; request: RequestId}, now: Millis): void {
		const record = this.#store.get(targetId);
		if (record?.announcement.incarnation === incarnation) {
			recordTargetNotice(record.suspension, notice, {source: {targetId, incarnation, request}, outbox: this.#outbox}, now);
		}
	}

	recordSign(targetId: TargetId, now: Millis): void {
		const record = this.#store.get(targetId);
		if (record !== undefined) {
			record.lastSignAt = now;
		}
	}

	summaries(now: Millis): readonly ServiceSummary[] {
		const summaries: ServiceSummary[] = [];
		for (const records of this.#store.services()) {
			const serving = records.filter(record =>
				this.#leased(record, now) && record.suspension.remainingMs(now) === 0);
			if (serving.length > 0) {
				summaries.push(summarizeTargets(serving));
			}
		}

		return summaries;
	}

	takeLost(): readonly TargetId[] {
		const lost = [...this.#lost];
		this.#lost = new Set();
		return lost;
	}

	* #probedTargets(now: Millis) {
		for (const record of this.#store.all()) {
			if (this.#leased(record, now) && !record.suspension.leaving) {
				const {targetId, announcement: {address}, reachability, inFlight, lastSignAt} = record;
				yield {
					targetId, address, reachability, silentMs: inFlight === 0 ? 0 : now - lastSignAt,
				};
			}
		}
	}

	#leased(record: TargetRecord, now: Millis): boolean {
		return this.#awake.step(now) - record.awakeHeardAt < leaseMs;
	}

	/** Stores an announcement that supersedes the known one, and publishes it. */
	#applyAnnouncement(announcement: Announcement, heardAt: Millis, direct: boolean, now: Millis): void {
		const known = this.#store.get(announcement.targetId);
		const awakeHeardAt = this.#awake.step(now) - (now - heardAt) as Millis;
		if (!known) {
			const record = new TargetRecord(announcement, heardAt, direct, awakeHeardAt);
			record.entryCount = this.#gossip.peers().length + 1;
			this.#store.add(record);
			this.#publish(record, true, now);
			return;
		}

		const changed = known.leaseEnded || !equalExceptLoad(announcement, known.announcement);
		if (announcement.incarnation !== known.announcement.incarnation && !known.leaseEnded) {
			this.#lost.add(known.targetId);
			known.reachability = new Reachability();
		}

		this.#store.update(known, {
			announcement, heardAt, awakeHeardAt, direct,
		});
		this.#publish(known, changed, now);
	}

	#publish(record: TargetRecord, changed: boolean, now: Millis): void {
		if (record.announcement.cache) {
			record.cachedBlockEstimate.applyEvents(record.announcement.cache);
		}

		if (record.direct && changed && record.announcement.state === 'leaving') {
			this.#gossip.broadcastLeaving(record, now);
		}

		this.#gossip.enqueue(record, changed);
	}

	#applyRelayed(announcement: Announcement, ageMs: number, now: Millis): void {
		const known = this.#store.get(announcement.targetId);
		const heardAt = now - Math.max(0, ageMs) as Millis;
		const ended = now - heardAt >= leaseMs && announcement.state !== 'leaving';
		if (ended || (known && !isLater(announcement, known.announcement))) {
			return;
		}

		this.#applyAnnouncement(announcement, heardAt, false, now);
	}

	/** Applies a compact load if the record is known and its lease is valid; otherwise requests the full record. */
	#applyLoad(load: LoadUpdate, now: Millis): void {
		const known = this.#store.getByHandle(load.handle);
		if (!known || !this.#leased(known, now)) {
			this.#gossip.requestRecord(load.handle);
			return;
		}

		const {announcement} = known;
		if (announcement.state === 'leaving' || load.sequence <= announcement.sequence) {
			return;
		}

		const {cache: _cache, ...rest} = announcement;
		this.#applyAnnouncement({
			...rest,
			sequence: load.sequence,
			load: {running: load.running, queued: load.queued, ageMs: Math.max(0, load.loadAgeMs - load.heardAgeMs)},
		}, now - load.heardAgeMs as Millis, false, now);
	}

	#leasedByHandle(handles: readonly number[], now: Millis): readonly TargetRecord[] {
		return handles
			.map(handle => this.#store.getByHandle(handle))
			.filter(record => record !== undefined)
			.filter(record => this.#leased(record, now));
	}

	/** Updates a record's slowdown and ejection, reports the end of its lease once, and requests a later load from other entries shortly before it ends. */
	#checkLease(record: TargetRecord, entryCount: number, now: Millis): void {
		if (record.leaseEnded) {
			return;
		}

		record.entryCount = entryCount;
		record.updateSlowdown(now);
		const ejector = this.#ejectors.get(this.#store.serviceKey(record.announcement));
		record.ejected = ejector?.isEjected(record.targetId, now) ?? false;
		if (!this.#leased(record, now)) {
			record.leaseEnded = true;
			this.#lost.add(record.targetId);
			ejector?.forget(record.targetId);
			return;
		}

		if (leaseMs - (this.#awake.now - record.awakeHeardAt) < leaseRefreshMs) {
			this.#gossip.requestLoad(record.handle);
		}
	}

	#updateEjection(record: TargetRecord, outcome: AttemptOutcome, now: Millis): void {
		const service = this.#store.serviceKey(record.announcement);
		const ejector = this.#ejectors.get(service) ?? new OutlierEjector();
		this.#ejectors.set(service, ejector);
		if (outcome.result === 'whole') {
			ejector.recordSuccess(record.targetId);
			return;
		}

		const serving = this.serving(record.announcement, undefined, now).length;
		if (outcome.result === 'failed' && ejector.recordFailure(record.targetId, serving, now)) {
			record.ejected = true;
			this.#outbox.count('ejections', service);
		}
	}
}
