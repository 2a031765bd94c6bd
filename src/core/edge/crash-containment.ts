import type {ActionQueue} from '../action-queue.ts';
import {RecentSet} from '../common/recent-set.ts';
import type {ControlMessage} from '../control/control-message.ts';
import type {CrashId} from '../ids/crash-id.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import {toId} from '../ids/to-id.ts';
import type {StateMemory} from '../memory/state-memory.ts';
import type {CrashReport} from '../routes/crash-report.ts';
import {ContainmentTrials} from './containment-trials.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeRequest} from './edge-request.ts';
import type {PooledTarget} from './pooled-target.ts';
import {traitsOf} from './traits-of.ts';

/** Crashes in a row, without a complete answer in between, from which on requests with a trait are refused. */
const crashesToContain = 3;
/** Time after a complete answer during which its traits are not blamed, in milliseconds. */
const recentlyServedMs = 5000;
/** Largest number of traits whose last complete answer is remembered. */
const maxServedTraits = 4096;
/** Interval at which crashes and served traits are reported to control, in milliseconds. */
const reportIntervalMs = 100;
/** Time after which a report that control has not confirmed is sent again, in milliseconds. */
const resendMs = 600;
/** Largest number of traits that wait for control's confirmation. */
const maxPendingTraits = 8192;
/** Largest number of reports that wait for control's confirmation; further ones are not added. */
const maxPendingReports = 64;
/** Largest number of traits in one report, for a target that ran dozens of requests; those of the attempts that broke off last come first. */
const maxTraitsPerReport = 256;
/** Fewest targets that look crashed at once, and their least share of all, for the network or this VM to be the likely cause. */
const minSimultaneousCrashes = 3;
const minSimultaneousShare = 0.5;

type PendingReport = {report: CrashReport; sentAt: number};

type CrashContainmentOptions = {
	readonly queue: ActionQueue<EdgeAction>;
	/** Owner of what is kept for callers. */
	readonly state: StateMemory;
	/** The control node that is told of crashes. */
	readonly primary: () => NodeId | undefined;
	/** Number of targets in use. */
	readonly targetCount: () => number;
};

/**
 * Keeps requests away from targets if what they have in common with others crashes each target that answers them.
 *
 * Callers send a fatal request again, or new ones with the same fatal part, to any entry, so neither a limit on the
 * attempts of a request nor the memory of one entry helps. Each entry reports what broke off with a target; the counts
 * over all entries come back through the replicated log, which also outlives restarts. Sound requests that happened to
 * run on the targets are blamed as well, until one of their kind is answered in full.
 */
export class CrashContainment {
	readonly trials: ContainmentTrials;
	readonly #options: CrashContainmentOptions;
	#index = 0;
	/** Crashes that traits are blamed for, over all entries. */
	#suspects: ReadonlyMap<RequestTrait, readonly CrashId[]> = new Map();
	/** Crashes of this entry that are not committed yet. */
	readonly #pending = new Map<CrashId, PendingReport>();
	/** Crashes since the last report. */
	#fresh = new Map<CrashId, CrashReport>();
	readonly #recentlyServed: RecentSet<RequestTrait>;
	/** Blamed traits with which requests were answered since the last report, and the crashes of each that were known at the last answer. */
	// eslint-disable-next-line no-restricted-syntax -- of the suspects only, whose number is bounded
	readonly #served = new Map<RequestTrait, readonly CrashId[]>();
	#reportedAt = Number.NEGATIVE_INFINITY;

	constructor(options: CrashContainmentOptions) {
		this.#options = options;
		this.trials = new ContainmentTrials(options);
		this.#recentlyServed = new RecentSet({budget: options.state.budget('served-traits'), keepMs: recentlyServedMs, maxSize: maxServedTraits});
	}

	/** Log index of the newest change of blamed traits that this entry has. */
	get index(): number {
		return this.#index;
	}

	/** Traits of the request that must keep it away from targets. */
	containedTraits(req: EdgeRequest): readonly RequestTrait[] {
		return this.#suspects.size === 0 && this.#pending.size === 0 ? [] : traitsOf(req).filter(trait => this.#crashesOf(trait).size >= crashesToContain);
	}

	/** Blames the traits of a request whose attempt broke off at a target. */
	recordBreak(req: EdgeRequest, {listed: {targetId, born}, lastSequence: sequence}: PooledTarget, now: Millis): void {
		const traits = traitsOf(req).filter(trait => !this.#recentlyServed.has(trait, now));
		if (traits.length === 0) {
			return;
		}

		const crash = toId<CrashId>(`${targetId}@${born}`);
		const report = this.#fresh.get(crash);
		this.#fresh.set(crash, {
			crash, targetId, born, sequence: report?.sequence ?? sequence, traits: [...new Set([...traits, ...report?.traits ?? []])].slice(0, maxTraitsPerReport),
		});
	}

	/** Records that a request was answered in full, which clears its traits. */
	recordServed(req: EdgeRequest, now: Millis): void {
		for (const trait of traitsOf(req)) {
			this.#recentlyServed.add(trait, now);
			if (this.#suspects.has(trait)) {
				this.#served.set(trait, [...this.#crashesOf(trait)]);
			}

			this.#clearPending(trait);
		}
	}

	handleFeed({crashes}: ControlMessage & {type: 'feed'}, now: Millis): void {
		if (crashes === undefined || crashes.index <= this.#index) {
			return;
		}

		const before = this.#suspects;
		this.#index = crashes.index;
		this.#suspects = new Map(crashes.suspects.map(suspect => [suspect.trait, suspect.crashes]));
		this.trials.update(crashes.suspects.filter(suspect => suspect.crashes.length >= crashesToContain), now);
		for (const [trait, blamed] of this.#suspects) {
			if (blamed.length >= crashesToContain && (before.get(trait)?.length ?? 0) < crashesToContain) {
				this.#options.queue.count('poison', 'contained');
				this.#options.queue.event('trait-contained', {trait, crashes: blamed, index: crashes.index});
			}
		}

		for (const [trait, blamed] of before) {
			if (blamed.length >= crashesToContain && (this.#suspects.get(trait)?.length ?? 0) < crashesToContain) {
				this.#options.queue.count('poison', 'cleared');
				this.#options.queue.event('trait-cleared', {trait, index: crashes.index});
			}
		}
	}

	/** Control has committed the reports of these crashes. */
	handleRecorded({crashes}: ControlMessage & {type: 'crashes-recorded'}): void {
		for (const crash of crashes) {
			this.#pending.delete(crash);
		}
	}

	tick(now: Millis): void {
		this.trials.tick(now);
		if (now - this.#reportedAt < reportIntervalMs) {
			return;
		}

		this.#reportedAt = now;
		this.#takeFresh();
		this.#report(now);
	}

	/** Takes the crashes since the last report, unless so many targets seem to have crashed at once that the network or this VM is the likely cause. */
	#takeFresh(): void {
		const crashes = [...this.#fresh.values()];
		this.#fresh = new Map();
		if (crashes.length >= minSimultaneousCrashes && crashes.length >= minSimultaneousShare * this.#options.targetCount()) {
			this.#options.queue.event('crashes-not-blamed', {crashes: crashes.map(({crash}) => crash)});
			return;
		}

		for (const report of crashes) {
			const pending = this.#pending.get(report.crash)?.report;
			if (pending === undefined && this.#pending.size >= maxPendingReports) {
				continue;
			}

			const known = pending?.traits ?? [];
			const traits = [...new Set([...known, ...report.traits])].slice(0, known.length + this.#traitsLeft());
			this.#pending.set(report.crash, {report: {...report, traits}, sentAt: Number.NEGATIVE_INFINITY});
			this.#options.queue.event('crash-suspected', {target: report.targetId, traits: report.traits});
		}
	}

	/** Further traits that may wait for control's confirmation; those that wait already are kept, since requests with them may be fatal. */
	#traitsLeft(): number {
		let count = 0;
		for (const {report} of this.#pending.values()) {
			count += report.traits.length;
		}

		return Math.max(0, maxPendingTraits - count);
	}

	#report(now: Millis): void {
		const due = [...this.#pending.values()].filter(({sentAt}) => now - sentAt >= resendMs);
		const primary = this.#options.primary();
		if (primary === undefined || (due.length === 0 && this.#served.size === 0)) {
			return;
		}

		for (const pending of due) {
			pending.sentAt = now;
		}

		this.#options.queue.send(primary, {
			part: 'control',
			body: {
				type: 'crashes-seen', reports: due.map(({report}) => report), served: [...this.#served.keys()], servedCrashes: [...this.#served.values()],
			},
		});
		this.#served.clear();
	}

	/** Crashes that a trait is blamed for, with those that only this entry knows of. */
	#crashesOf(trait: RequestTrait): ReadonlySet<CrashId> {
		const crashes = new Set(this.#suspects.get(trait));
		for (const [crash, {report}] of this.#pending) {
			if (report.traits.includes(trait)) {
				crashes.add(crash);
			}
		}

		return crashes;
	}

	#clearPending(trait: RequestTrait): void {
		for (const pending of this.#pending.values()) {
			const {report} = pending;
			if (report.traits.includes(trait)) {
				pending.report = {...report, traits: report.traits.filter(other => other !== trait)};
			}
		}
	}
}
