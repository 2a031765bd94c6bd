import {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';
import {CountedMap} from '../memory/counted-map.ts';
import type {StateBudget} from '../memory/state-budget.ts';
import type {ListedTarget} from './listed-target.ts';
import type {RegisteredTarget} from './registered-target.ts';
import type {TargetReport} from './target-report.ts';

/** Time for which a target that ended or stopped reporting is kept, so that late reports do not revive it, in milliseconds. */
const retentionMs = 60_000;
/** Report intervals without a report after which a target counts as lost. */
const maxMissedReports = 3.5;

/** Memory of a target's record beside its id and texts, in bytes. */
const recordBytes = 512;
/** Memory of a character of a text that need not be Latin-1, in bytes. */
const characterBytes = 2;
/** Most earlier versions of targets' software that are remembered. */
const maxReplaced = 1000;

type ReportOrigin = {
	/** True if the target sent the report to this node, and not through another control node. */
	readonly direct?: boolean;
	/** Time since the report was sent, in milliseconds. */
	readonly ageMs?: number;
};

type ReplacedSoftware = {readonly service: ServiceName; readonly softwareVersion: SoftwareVersion; readonly heardAt: Millis};

type TargetRegistryOptions = {
	/** Interval between two reports of a target, in milliseconds. */
	readonly reportEveryMs: number;
	readonly regionOf: (zone: Zone) => Region | undefined;
	/** Memory that the targets may take; at the bound, those that are known are kept and no others taken. */
	readonly budget: StateBudget;
};

/**
 * Registry of the targets that one control node knows from their own reports and from other control nodes.
 * A report is accepted only if it is newer than the last one. A target that is leaving or withdrawn stays so until a
 * later incarnation reports.
 */
export class TargetRegistry {
	readonly #options: TargetRegistryOptions;
	readonly #awake = new AwakeClock();
	readonly #records: CountedMap<TargetId, RegisteredTarget>;
	/** Targets that are listed to entries as lost. */
	readonly #announcedLost = new Set<TargetId>();
	/** Software that targets had before they started again under their ids with another one. */
	#replaced: readonly ReplacedSoftware[] = [];
	#revision = 0;

	constructor(options: TargetRegistryOptions) {
		this.#options = options;
		this.#records = new CountedMap({
			budget: options.budget,
			whenFull: 'keep',
			valueBytes: ({report: {service, address, softwareVersion}}) => recordBytes + (characterBytes * (service.length + address.length + softwareVersion.length)),
		});
	}

	/** Grows with every change that entries have to learn of. */
	get revision(): number {
		return this.#revision;
	}

	/** False if there is no memory for a target that is not known. */
	hasRoomFor(targetId: TargetId): boolean {
		return !this.#options.budget.isFull || this.#records.has(targetId);
	}

	/** Takes a report; returns whether it changed anything but the time of the last heartbeat. */
	recordReport(report: TargetReport, now: Millis, {direct = true, ageMs = 0}: ReportOrigin = {}): boolean {
		const awakeSentAt = this.#awake.step(now) - ageMs as Millis;
		const known = this.#records.get(report.targetId);
		const region = this.#options.regionOf(report.zone);
		// A withdrawal of a target that its control node didn't know has no zone; its `born` is the time of the withdrawal.
		const endsKnown = known !== undefined && (region === undefined ? report.born >= known.report.born : report.born === known.report.born);
		if (report.state === 'leaving' && known?.ended === false && endsKnown) {
			// Accepted even if the sequence number is known: the target withdrew at another control node after this report.
			this.#end(known, direct);
			known.heardAt = Math.max(known.heardAt, now - ageMs) as Millis;
			known.awakeHeardAt = Math.max(known.awakeHeardAt, awakeSentAt) as Millis;
			known.goneAt = report.goneInMs === undefined ? known.goneAt : now - ageMs + report.goneInMs as Millis;
			return true;
		}

		const older = known ? !isNewer(report, known.report) : false;
		if (region === undefined || older || this.#isExcessive(report, known) || this.#losesAddressConflict(report, known)) {
			return false;
		}

		const target = toRecord(report, {
			known, region, direct, sentAt: now - ageMs as Millis, awakeSentAt,
		});
		this.#records.set(report.targetId, target);
		if (known !== undefined && hasOtherSoftware(known.report, report)) {
			const {report: {service, softwareVersion}, heardAt} = known;
			const others = this.#replaced.filter(replaced => replaced.service !== service || replaced.softwareVersion !== softwareVersion);
			this.#replaced = [...others, {service, softwareVersion, heardAt}];
		}

		const changed = known === undefined || this.#differs(known, target, now);
		if (changed) {
			this.#announcedLost.delete(report.targetId);
			this.#bumpRevision(target);
		}

		return changed;
	}

	/** Takes a heartbeat, which confirms that a known report is still valid; false if no report of that incarnation or a later one is known. */
	recordHeartbeat(targetId: TargetId, heartbeat: {born: number; sequence: number; ageMs: number}, now: Millis): boolean {
		const awakeSentAt = this.#awake.step(now) - heartbeat.ageMs as Millis;
		const known = this.#records.get(targetId);
		if (known?.report.born !== heartbeat.born) {
			// The heartbeat is outdated if a later incarnation is known.
			return (known?.report.born ?? Number.NEGATIVE_INFINITY) > heartbeat.born;
		}

		if (heartbeat.sequence <= known.report.sequence) {
			return true;
		}

		const sentAt = now - heartbeat.ageMs as Millis;
		const wasLost = this.#isLost(known);
		known.report = {...known.report, sequence: heartbeat.sequence};
		known.heardAt = Math.max(known.heardAt, sentAt) as Millis;
		known.awakeHeardAt = Math.max(known.awakeHeardAt, awakeSentAt) as Millis;
		known.direct = false;
		if (known.coldUnknownSince !== undefined && sentAt > known.coldUnknownSince) {
			known.coldUnknownSince = undefined;
			this.#bumpRevision(known);
		}

		if (wasLost && !this.#isLost(known)) {
			this.#announcedLost.delete(targetId);
			this.#bumpRevision(known);
		}

		return true;
	}

	/**
	 * Takes the withdrawal of a target: later reports of its incarnation are ignored. Returns whether a known target ended by it.
	 *
	 * @param wallClock - The present time as Unix time in milliseconds, to be compared with `born`.
	 * @param born - Start of the incarnation that withdraws: a later one does not end by it. By default, the one that is known.
	 */
	withdraw(targetId: TargetId, wallClock: number, now: Millis, born?: number): boolean {
		const known = this.#records.get(targetId);
		if (!this.hasRoomFor(targetId)) {
			return false;
		}

		if (known === undefined) {
			this.#addWithdrawn(targetId, born ?? wallClock, now);
		} else if (!known.ended && known.report.born <= (born ?? Number.POSITIVE_INFINITY)) {
			this.#end(known, true);
			return true;
		}

		return false;
	}

	/** Marks targets of a zone as possibly cold, as when its evacuation ends; entries send them no requests until they have reported after `now`. */
	markMaybeCold(zone: Zone, now: Millis): void {
		for (const target of this.#records.values()) {
			if (target.report.zone === zone && !target.ended) {
				target.coldUnknownSince = now;
				this.#bumpRevision(target);
			}
		}
	}

	/** Removes targets that have not reported for a long time, and marks those that are now lost as changed. */
	tick(now: Millis): void {
		this.#awake.step(now);
		this.#replaced = this.#replaced.filter(({heardAt}) => now - heardAt <= retentionMs);
		for (const [targetId, target] of this.#records) {
			const silence = now - target.heardAt;
			if (silence > retentionMs) {
				this.#records.delete(targetId);
				this.#announcedLost.delete(targetId);
				this.#revision += 1;
			} else if (this.#isLost(target) && !target.ended && target.report.state === 'serving' && !this.#announcedLost.has(targetId)) {
				this.#announcedLost.add(targetId);
				this.#bumpRevision(target);
			} else if (!this.#isLost(target)) {
				this.#announcedLost.delete(targetId);
			}
		}
	}

	/** Listings, for entries, of the targets that changed after a revision; serving targets that are lost are listed as `lost`. */
	changedSince(revision: number, now: Millis, filter: (target: RegisteredTarget) => boolean = () => true): readonly ListedTarget[] {
		return [...this.#records.values()]
			.filter(target => target.revision > revision && filter(target))
			.map(target => this.#toListedTarget(target, now));
	}

	/** Reports for other control nodes: those that targets sent to this node and that changed after a revision, with their ages in milliseconds. */
	directReportsSince(revision: number, now: Millis): ReadonlyArray<{report: TargetReport; ageMs: number}> {
		return [...this.#records.values()]
			.filter(target => target.revision > revision && target.direct)
			.map(target => ({
				report: {...target.report, coldMs: Math.max(0, target.coldUntil - target.heardAt), goneInMs: target.goneAt === undefined ? undefined : target.goneAt - target.heardAt},
				ageMs: now - target.heardAt,
			}));
	}

	/** Heartbeats that targets sent to this node in the last `withinMs` milliseconds: target, `born`, sequence number and age in milliseconds. */
	directHeartbeats(withinMs: number, now: Millis): ReadonlyArray<readonly [TargetId, number, number, number]> {
		return [...this.#records.values()]
			.filter(target => target.direct && now - target.heardAt <= withinMs && !target.ended)
			.map(({report, heardAt}) => [report.targetId, report.born, report.sequence, Math.round(now - heardAt)] as const);
	}

	/** Newest heartbeats of the targets of a region, for its entries: target and sequence number. */
	heartbeats(region: Region): ReadonlyArray<readonly [TargetId, number]> {
		return [...this.#records.values()]
			.filter(target => target.region === region && !target.ended)
			.map(({report}) => [report.targetId, report.sequence] as const);
	}

	/** Number of the newest report of an incarnation; undefined if it is not the newest one known. */
	newestSequence(targetId: TargetId, born: number): number | undefined {
		const known = this.#records.get(targetId)?.report;
		return known?.born === born ? known.sequence : undefined;
	}

	/** Software versions of a service's targets, each once, with those that ended or were replaced lately. */
	softwareVersions(service: ServiceName): readonly SoftwareVersion[] {
		const reported = [...this.#records.values()].map(({report}) => report);
		return [...new Set([...reported, ...this.#replaced].filter(had => had.service === service).map(({softwareVersion}) => softwareVersion))];
	}

	/** Reports of the serving targets that are not lost, with their regions. */
	servingTargets(): ReadonlyArray<{region: Region; report: TargetReport}> {
		return [...this.#records.values()]
			.filter(target => target.report.state === 'serving' && !this.#isLost(target))
			.map(({region, report}) => ({region, report}));
	}

	#toListedTarget(target: RegisteredTarget, now: Millis): ListedTarget {
		const {coldMs: _, goneInMs: __, ...report} = target.report;
		return {
			...report,
			state: this.#isLost(target) && report.state === 'serving' ? 'lost' : report.state,
			region: target.region,
			coldForMs: target.coldUnknownSince === undefined ? Math.max(0, Math.round(target.coldUntil - now)) : 'unknown',
			goneInMs: target.goneAt === undefined ? undefined : Math.round(target.goneAt - now),
		};
	}

	#isLost({awakeHeardAt}: RegisteredTarget): boolean {
		return this.#awake.now - awakeHeardAt > maxMissedReports * this.#options.reportEveryMs;
	}

	/** True if there is no memory for the target, or for the software that it had before. */
	#isExcessive(report: TargetReport, known: RegisteredTarget | undefined): boolean {
		return !this.hasRoomFor(report.targetId) || (known !== undefined && this.#replaced.length >= maxReplaced && hasOtherSoftware(known.report, report));
	}

	/** True if a target that started later holds the report's address. Targets that started earlier and hold it are ended. */
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
			|| left.softwareVersion !== right.softwareVersion
			|| left.slots !== right.slots
			|| before.ended !== after.ended
			|| before.coldUnknownSince !== after.coldUnknownSince
			|| before.goneAt !== after.goneAt
			|| Math.max(before.coldUntil, now) !== Math.max(after.coldUntil, now)
			|| this.#isLost(before);
	}

	/** Records the withdrawal of an unknown target, so that reports of incarnations up to `born` are ignored. */
	#addWithdrawn(targetId: TargetId, born: number, now: Millis): void {
		this.#records.set(targetId, {
			report: {
				targetId,
				service: '' as TargetReport['service'],
				address: '',
				zone: '' as Zone,
				softwareVersion: '' as SoftwareVersion,
				slots: 0,
				state: 'leaving',
				coldMs: 0,
				born,
				sequence: Number.MAX_SAFE_INTEGER,
			},
			region: '' as Region,
			heardAt: now,
			awakeHeardAt: this.#awake.step(now),
			coldUntil: now,
			ended: true,
			revision: 0,
			direct: true,
		});
		this.#bumpRevision(this.#records.get(targetId)!);
	}

	/** Ends the target's incarnation; `direct` is true if this node has to pass that on to the other control nodes. */
	#end(target: RegisteredTarget, direct: boolean): void {
		target.ended = true;
		target.direct = direct;
		target.report = {...target.report, state: 'leaving'};
		this.#bumpRevision(target);
	}

	#bumpRevision(target: RegisteredTarget): void {
		this.#revision += 1;
		target.revision = this.#revision;
	}
}

function hasOtherSoftware(left: TargetReport, right: TargetReport): boolean {
	return left.softwareVersion !== right.softwareVersion || left.service !== right.service;
}

function isNewer(report: TargetReport, known: TargetReport): boolean {
	return report.born > known.born || (report.born === known.born && report.sequence > known.sequence);
}

type RecordContext = {readonly known: RegisteredTarget | undefined; readonly region: Region; readonly direct: boolean; readonly sentAt: Millis; readonly awakeSentAt: Millis};

/** State of a target after a report; an incarnation that is leaving stays so, and one that has possibly been cold since `coldUnknownSince` stays so until a report that was sent later. */
function toRecord(report: TargetReport, {known, region, direct, sentAt, awakeSentAt}: RecordContext): RegisteredTarget {
	const earlier = known?.report.born === report.born ? known : undefined;
	const ended = earlier?.ended === true || report.state === 'leaving';
	const coldSince = known?.coldUnknownSince;
	return {
		report: ended ? {...report, state: 'leaving'} : report,
		region,
		heardAt: sentAt,
		awakeHeardAt: awakeSentAt,
		coldUntil: sentAt + report.coldMs as Millis,
		goneAt: report.goneInMs === undefined ? earlier?.goneAt : sentAt + report.goneInMs as Millis,
		coldUnknownSince: coldSince !== undefined && sentAt <= coldSince ? coldSince : undefined,
		ended,
		revision: known?.revision ?? 0,
		direct,
	};
}
