import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import type {AttemptOutcome} from './attempt-outcome.ts';
import {decodeLoads} from './decode-loads.ts';
import {isLater} from './is-later.ts';
import type {LoadNews} from './load-news.ts';
import {OutlierEjector} from './outlier-ejector.ts';
import {sameApartFromLoad} from './same-apart-from-load.ts';
import type {ServiceSummary} from './service-summary.ts';
import {summarizeTargets} from './summarize-targets.ts';
import {TargetGossip} from './target-gossip.ts';
import {TargetRecord} from './target-record.ts';
import {TargetStore} from './target-store.ts';
import type {TargetTable} from './target-table.ts';
import type {TargetView} from './target-view.ts';
import type {TargetsMessage} from './targets-message.ts';

/** Time after which a target that was not heard gets no new work. */
const leaseMs = 3000;

/** Rest of a lease below which other entries are asked for a later announcement. */
const askBeforeMs = 1000;

/** Time between two passes that drop targets which ended long ago. */
const pruneEveryMs = 10_000;

/** The targets of this node's region, each under a lease, in step with the region's other entries. */
export class RegionalTargetTable implements TargetTable {
	readonly #outbox: Outbox;
	readonly #gossip: TargetGossip;
	readonly #store = new TargetStore();
	readonly #ejectors = new Map<string, OutlierEjector>();
	#lost = new Set<TargetId>();
	#pruneAt = 0 as Millis;

	constructor(options: {self: NodeId; entries: () => readonly NodeId[]; outbox: Outbox; random: Random}) {
		this.#outbox = options.outbox;
		this.#gossip = new TargetGossip(options);
	}

	announce(announcement: Announcement, now: Millis): 'accepted' | 'stale' {
		const known = this.#store.get(announcement.targetId);
		if (known && !isLater(announcement, known.announcement)) {
			this.#outbox.count('stale_messages', 'announcement');
			return 'stale';
		}

		this.#outbox.count('announcements', announcement.state);
		this.#take(announcement, now, true, now);
		return 'accepted';
	}

	handle(from: NodeId, message: TargetsMessage, now: Millis): void {
		if (!this.#gossip.peers().includes(from)) {
			return;
		}

		switch (message.type) {
			case 'digest': {
				for (const {announcement, ageMs} of message.records) {
					this.#takeRelayed(announcement, ageMs, now);
				}

				for (const load of decodeLoads(message.loads)) {
					this.#takeLoad(load, now);
				}

				break;
			}

			case 'leaving': {
				this.#takeRelayed(message.record.announcement, message.record.ageMs, now);
				break;
			}

			case 'pull': {
				this.#gossip.answer(from, {
					whole: this.#leasedWith(message.unknown, now),
					loads: this.#leasedWith(message.known, now),
				}, now);
				break;
			}
		}
	}

	tick(now: Millis): void {
		const sharers = this.#gossip.peers().length + 1;
		for (const record of this.#store.all()) {
			this.#renew(record, sharers, now);
		}

		this.#gossip.tick(now);
		if (now >= this.#pruneAt) {
			this.#pruneAt = now + pruneEveryMs as Millis;
			this.#store.prune(now);
		}
	}

	serving(service: {firm: string; deployment: string; service: string}, model: string | undefined, now: Millis): readonly TargetView[] {
		return this.#store.ofService(this.#store.serviceKey(service)).filter(record =>
			this.#leased(record, now)
			&& record.announcement.state === 'serving'
			&& (model === undefined || record.announcement.models.includes(model)));
	}

	get(targetId: TargetId, now: Millis): TargetView | undefined {
		const record = this.#store.get(targetId);
		return record && this.#leased(record, now) ? record : undefined;
	}

	all(now: Millis): readonly TargetView[] {
		return [...this.#store.all()].filter(record => this.#leased(record, now));
	}

	started(targetId: TargetId, work: {promptTokens: number; outputTokens: number; prefixBlocks: readonly string[]}, now: Millis): void {
		const record = this.#store.get(targetId);
		record?.log.start(work.outputTokens, now);
		record?.cache.used(work.prefixBlocks);
	}

	finished(targetId: TargetId, outcome: AttemptOutcome, now: Millis): void {
		const record = this.#store.get(targetId);
		if (!record) {
			return;
		}

		record.speed.learn(outcome, record.announcement.kind, record.fill);
		record.log.end(outcome.predictedOutputTokens, now);
		this.#judge(record, outcome, now);
	}

	summaries(now: Millis): readonly ServiceSummary[] {
		const summaries: ServiceSummary[] = [];
		for (const records of this.#store.services()) {
			const serving = records.filter(record => this.#leased(record, now) && record.announcement.state === 'serving');
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

	#leased(record: TargetRecord, now: Millis): boolean {
		return now - record.heardAt < leaseMs;
	}

	/** Takes an announcement that is known to be later than what is known. */
	#take(announcement: Announcement, heardAt: Millis, direct: boolean, now: Millis): void {
		const known = this.#store.get(announcement.targetId);
		if (!known) {
			const record = new TargetRecord(announcement, heardAt, direct);
			record.sharers = this.#gossip.peers().length + 1;
			this.#store.add(record);
			this.#accepted(record, true, now);
			return;
		}

		const changed = known.lost || !sameApartFromLoad(announcement, known.announcement);
		if (announcement.incarnation !== known.announcement.incarnation && !known.lost) {
			this.#lost.add(known.targetId);
		}

		this.#store.update(known, {announcement, heardAt, direct});
		this.#accepted(known, changed, now);
	}

	#accepted(record: TargetRecord, changed: boolean, now: Millis): void {
		if (record.announcement.cache) {
			record.cache.events(record.announcement.cache);
		}

		if (record.direct && changed && record.announcement.state === 'leaving') {
			this.#gossip.leaving(record, now);
		}

		this.#gossip.spread(record, changed);
	}

	#takeRelayed(announcement: Announcement, ageMs: number, now: Millis): void {
		const known = this.#store.get(announcement.targetId);
		const heardAt = now - Math.max(0, ageMs) as Millis;
		const ended = now - heardAt >= leaseMs && announcement.state !== 'leaving';
		if (ended || (known && !isLater(announcement, known.announcement))) {
			return;
		}

		this.#take(announcement, heardAt, false, now);
	}

	/** A compact load renews the lease of a record that is known and whose lease is valid; others are asked for. */
	#takeLoad(load: LoadNews, now: Millis): void {
		const known = this.#store.withHandle(load.handle);
		if (!known || !this.#leased(known, now)) {
			this.#gossip.wantRecord(load.handle);
			return;
		}

		const {announcement} = known;
		if (announcement.state === 'leaving' || load.sequence <= announcement.sequence) {
			return;
		}

		const {cache: _cache, ...rest} = announcement;
		this.#take({
			...rest,
			sequence: load.sequence,
			load: {running: load.running, queued: load.queued, ageMs: Math.max(0, load.loadAgeMs - load.heardAgeMs)},
		}, now - load.heardAgeMs as Millis, false, now);
	}

	#leasedWith(handles: readonly number[], now: Millis): readonly TargetRecord[] {
		return handles
			.map(handle => this.#store.withHandle(handle))
			.filter(record => record !== undefined)
			.filter(record => this.#leased(record, now));
	}

	/** Reports the end of a lease once; asks for later news shortly before. */
	#renew(record: TargetRecord, sharers: number, now: Millis): void {
		if (record.lost) {
			return;
		}

		record.sharers = sharers;
		record.checkStall(now);
		const ejector = this.#ejectors.get(this.#store.serviceKey(record.announcement));
		record.ejected = ejector?.ejected(record.targetId, now) ?? false;
		if (!this.#leased(record, now)) {
			record.lost = true;
			this.#lost.add(record.targetId);
			ejector?.forget(record.targetId);
			return;
		}

		if (leaseMs - (now - record.heardAt) < askBeforeMs) {
			this.#gossip.wantLoad(record.handle);
		}
	}

	#judge(record: TargetRecord, outcome: AttemptOutcome, now: Millis): void {
		const service = this.#store.serviceKey(record.announcement);
		const ejector = this.#ejectors.get(service) ?? new OutlierEjector();
		this.#ejectors.set(service, ejector);
		if (outcome.result === 'whole') {
			ejector.succeeded(record.targetId);
			return;
		}

		const serving = this.serving(record.announcement, undefined, now).length;
		if (outcome.result === 'failed' && ejector.failed(record.targetId, serving, now)) {
			record.ejected = true;
			this.#outbox.count('ejections', service);
		}
	}
}
