import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';
import type {ListedTarget} from './listed-target.ts';
import type {RegisteredTarget} from './registered-target.ts';
import type {TargetReport} from './target-report.ts';

/** Time for which a target that ended or fell silent is remembered, so that late reports do not revive it. */
const retentionMs = 60_000;
/** Reports that a target may miss before it counts as lost. */
const maxMissedReports = 3.5;

type ReportOrigin = {
	/** True if the report came to this node itself and not through another. */
	readonly direct?: boolean;
	readonly ageMs?: number;
};

type TargetRegistryOptions = {
	/** Time between two reports of a target, in milliseconds. */
	readonly reportEveryMs: number;
	readonly regionOf: (zone: Zone) => Region | undefined;
};

/**
 * The targets that one control node knows, from their own reports and from other control nodes.
 * A report counts only if it is newer than the last one of its incarnation; a target that is leaving
 * or withdrawn stays so until a later incarnation reports.
 */
export class TargetRegistry {
	readonly #options: TargetRegistryOptions;
	readonly #records = new Map<TargetId, RegisteredTarget>();
	/** Targets whose silence entries have been told of. */
	readonly #announcedLost = new Set<TargetId>();
	#revision = 0;

	constructor(options: TargetRegistryOptions) {
		this.#options = options;
	}

	/** Grows with every change that entries have to know. */
	get revision(): number {
		return this.#revision;
	}

	/** Takes a report that was sent `ageMs` ago; returns whether it changed anything but the target's last sign of life. */
	recordReport(report: TargetReport, now: Millis, {direct = true, ageMs = 0}: ReportOrigin = {}): boolean {
		const known = this.#records.get(report.targetId);
		if (report.state === 'leaving' && known?.ended === false && report.born >= known.report.born) {
			// Also under a number that is known: the target withdrew at another node after it.
			this.#end(known, direct);
			known.heardAt = Math.max(known.heardAt, now - ageMs) as Millis;
			known.goneAt = report.goneInMs === undefined ? known.goneAt : now - ageMs + report.goneInMs as Millis;
			return true;
		}

		const region = this.#options.regionOf(report.zone);
		const older = known ? !isNewer(report, known.report) : false;
		if (region === undefined || older || this.#losesAddressConflict(report, known)) {
			return false;
		}

		const entry = toRecord(report, {
			known, region, direct, sentAt: now - ageMs as Millis,
		});
		this.#records.set(report.targetId, entry);
		const changed = known === undefined || this.#differs(known, entry, now);
		if (changed) {
			this.#bumpRevision(entry);
		}

		return changed;
	}

	/** Takes a sign of life of a target whose report is known; false if it is not. */
	recordHeartbeat(targetId: TargetId, heartbeat: {born: number; sequence: number; ageMs: number}, now: Millis): boolean {
		const known = this.#records.get(targetId);
		if (known?.report.born !== heartbeat.born) {
			// A later incarnation is known: the sign is an old one.
			return (known?.report.born ?? Number.NEGATIVE_INFINITY) > heartbeat.born;
		}

		if (heartbeat.sequence <= known.report.sequence) {
			return true;
		}

		const sentAt = now - heartbeat.ageMs as Millis;
		const wasLost = this.#isLost(known, now);
		known.report = {...known.report, sequence: heartbeat.sequence};
		known.heardAt = Math.max(known.heardAt, sentAt) as Millis;
		known.direct = false;
		if (known.coldUnknownSince !== undefined && sentAt > known.coldUnknownSince) {
			known.coldUnknownSince = undefined;
			this.#bumpRevision(known);
		}

		if (wasLost && !this.#isLost(known, now)) {
			this.#bumpRevision(known);
		}

		return true;
	}

	/** A target said that it goes: nothing of this incarnation counts any more. */
	withdraw(targetId: TargetId, wallClock: number, now: Millis): boolean {
		const known = this.#records.get(targetId);
		if (known === undefined) {
			this.#addWithdrawn(targetId, wallClock, now);
		} else if (!known.ended) {
			this.#end(known, true);
			return true;
		}

		return false;
	}

	/** Targets of a zone may have become cold: they are spared until they have reported after `now`. */
	markMaybeCold(zone: Zone, now: Millis): void {
		for (const entry of this.#records.values()) {
			if (entry.report.zone === zone && !entry.ended) {
				entry.coldUnknownSince = now;
				this.#bumpRevision(entry);
			}
		}
	}

	/** Forgets targets that have been silent for long, and notes those that fell silent. */
	tick(now: Millis): void {
		for (const [targetId, entry] of this.#records) {
			const silence = now - entry.heardAt;
			if (silence > retentionMs) {
				this.#records.delete(targetId);
				this.#revision += 1;
			} else if (this.#isLost(entry, now) && !entry.ended && entry.report.state === 'serving' && !this.#announcedLost.has(targetId)) {
				this.#announcedLost.add(targetId);
				this.#bumpRevision(entry);
			} else if (!this.#isLost(entry, now)) {
				this.#announcedLost.delete(targetId);
			}
		}
	}

	/** Targets that changed after a revision, as entries are told; those that are lost or gone are listed as leaving. */
	changedSince(revision: number, now: Millis, filter: (entry: RegisteredTarget) => boolean = () => true): readonly ListedTarget[] {
		return [...this.#records.values()]
			.filter(entry => entry.revision > revision && filter(entry))
			.map(entry => this.#toListedTarget(entry, now));
	}

	/** Reports that came to this node itself and changed after a revision, as other control nodes are told. */
	directReportsSince(revision: number, now: Millis): ReadonlyArray<{report: TargetReport; ageMs: number}> {
		return [...this.#records.values()]
			.filter(entry => entry.revision > revision && entry.direct)
			.map(entry => ({
				report: {...entry.report, coldMs: Math.max(0, entry.coldUntil - entry.heardAt), goneInMs: entry.goneAt === undefined ? undefined : entry.goneAt - entry.heardAt},
				ageMs: now - entry.heardAt,
			}));
	}

	/** Signs of life that came to this node itself within a time. */
	directHeartbeats(withinMs: number, now: Millis): ReadonlyArray<readonly [TargetId, number, number, number]> {
		return [...this.#records.values()]
			.filter(entry => entry.direct && now - entry.heardAt <= withinMs && !entry.ended)
			.map(({report, heardAt}) => [report.targetId, report.born, report.sequence, Math.round(now - heardAt)] as const);
	}

	/** Newest signs of life of the targets that entries of a region use. */
	heartbeats(region: Region): ReadonlyArray<readonly [TargetId, number]> {
		return [...this.#records.values()]
			.filter(entry => entry.region === region && !entry.ended)
			.map(({report}) => [report.targetId, report.sequence] as const);
	}

	/** Serving targets and their slots, summed by region and service. */
	servingTargets(now: Millis): ReadonlyArray<{region: Region; report: TargetReport}> {
		return [...this.#records.values()]
			.filter(entry => entry.report.state === 'serving' && !this.#isLost(entry, now))
			.map(({region, report}) => ({region, report}));
	}

	#toListedTarget(entry: RegisteredTarget, now: Millis): ListedTarget {
		const {coldMs: _, goneInMs: __, ...report} = entry.report;
		return {
			...report,
			state: this.#isLost(entry, now) && report.state === 'serving' ? 'lost' : report.state,
			region: entry.region,
			coldForMs: entry.coldUnknownSince === undefined ? Math.max(0, Math.round(entry.coldUntil - now)) : 'unknown',
			goneInMs: entry.goneAt === undefined ? undefined : Math.round(entry.goneAt - now),
		};
	}

	#isLost(entry: RegisteredTarget, now: Millis): boolean {
		return now - entry.heardAt > maxMissedReports * this.#options.reportEveryMs;
	}

	/** True if a later incarnation holds the report's address; an earlier one that holds it has ended. */
	#losesAddressConflict(report: TargetReport, known: RegisteredTarget | undefined): boolean {
		for (const other of this.#records.values()) {
			if (other === known || other.report.targetId === report.targetId || other.report.address !== report.address) {
				continue;
			}

			if (other.report.born > report.born) {
				return true;
			}

			if (!other.ended) {
				this.#end(other, other.direct);
			}
		}

		return false;
	}

	#differs(before: RegisteredTarget, after: RegisteredTarget, now: Millis): boolean {
		const [left, right] = [before.report, after.report];
		return left.born !== right.born
			|| left.state !== right.state
			|| left.address !== right.address
			|| left.service !== right.service
			|| left.zone !== right.zone
			|| left.slots !== right.slots
			|| before.ended !== after.ended
			|| before.coldUnknownSince !== after.coldUnknownSince
			|| before.goneAt !== after.goneAt
			|| Math.max(before.coldUntil, now) !== Math.max(after.coldUntil, now)
			|| this.#isLost(before, now);
	}

	/** A target that was never heard of withdrew: its earlier incarnations stay out. */
	#addWithdrawn(targetId: TargetId, wallClock: number, now: Millis): void {
		this.#records.set(targetId, {
			report: {
				targetId, service: '' as TargetReport['service'], address: '', zone: '' as Zone, slots: 0, state: 'leaving', coldMs: 0, born: wallClock, sequence: Number.MAX_SAFE_INTEGER,
			},
			region: '' as Region,
			heardAt: now,
			coldUntil: now,
			ended: true,
			revision: 0,
			direct: true,
		});
		this.#bumpRevision(this.#records.get(targetId)!);
	}

	/** Nothing of the target's incarnation counts from now on; `direct` if this node has to tell the others. */
	#end(entry: RegisteredTarget, direct: boolean): void {
		entry.ended = true;
		entry.direct = direct;
		entry.report = {...entry.report, state: 'leaving'};
		this.#bumpRevision(entry);
	}

	#bumpRevision(entry: RegisteredTarget): void {
		this.#revision += 1;
		entry.revision = this.#revision;
	}
}

function isNewer(report: TargetReport, known: TargetReport): boolean {
	return report.born > known.born || (report.born === known.born && report.sequence > known.sequence);
}

type RecordContext = {readonly known: RegisteredTarget | undefined; readonly region: Region; readonly direct: boolean; readonly sentAt: Millis};

/** What is kept of a report; an incarnation that is leaving or possibly cold stays so. */
function toRecord(report: TargetReport, {known, region, direct, sentAt}: RecordContext): RegisteredTarget {
	const earlier = known?.report.born === report.born ? known : undefined;
	const ended = earlier?.ended === true || report.state === 'leaving';
	const coldSince = known?.coldUnknownSince;
	return {
		report: ended ? {...report, state: 'leaving'} : report,
		region,
		heardAt: sentAt,
		coldUntil: sentAt + report.coldMs as Millis,
		goneAt: report.goneInMs === undefined ? earlier?.goneAt : sentAt + report.goneInMs as Millis,
		coldUnknownSince: coldSince !== undefined && sentAt <= coldSince ? coldSince : undefined,
		ended,
		revision: known?.revision ?? 0,
		direct,
	};
}
