import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {TargetTable} from '../targets/target-table.ts';
import type {PoisonGuard} from './poison-guard.ts';

/** Further announcements of the same incarnation, about a second apart, after which a target counts as not crashed. */
const announcementsToClear = 3;

/** How long a suspected target without announcements is monitored, in milliseconds. */
const monitoringMs = 60_000;

/**
 * Reports a crash to the poison guard as soon as a connection breaks, before the target's lease ends, and
 * withdraws the report if the target keeps announcing itself as the same incarnation.
 */
export class CrashMonitor {
	readonly #targets: TargetTable;
	readonly #poison: PoisonGuard;
	/** Suspected targets by id and incarnation. `sequence` is that of the last announcement before the suspicion, or infinite until an announcement is known. */
	readonly #monitored = new Map<string, {targetId: TargetId; incarnation: number; sequence: number; until: number}>();

	constructor(options: {targets: TargetTable; poison: PoisonGuard}) {
		this.#targets = options.targets;
		this.#poison = options.poison;
	}

	suspect(targetId: TargetId, incarnation: number, fingerprints: readonly string[], now: Millis): void {
		this.#poison.targetCrashed(targetId, incarnation, fingerprints, now);
		const announcement = this.#targets.get(targetId, now)?.announcement;
		const sequence = announcement?.incarnation === incarnation ? announcement.sequence : undefined;
		const key = `${targetId}@${incarnation}`;
		const before = this.#monitored.get(key);
		this.#monitored.set(key, {
			targetId, incarnation, sequence: sequence ?? before?.sequence ?? Number.POSITIVE_INFINITY, until: now + monitoringMs,
		});
	}

	tick(now: Millis): void {
		for (const [key, monitored] of this.#monitored) {
			const announcement = this.#targets.get(monitored.targetId, now)?.announcement;
			if (announcement?.incarnation === monitored.incarnation) {
				this.#clearIfAlive(key, announcement.sequence, now);
			} else if (now >= monitored.until || (announcement && announcement.incarnation > monitored.incarnation)) {
				this.#monitored.delete(key);
			}
		}
	}

	#clearIfAlive(key: string, sequence: number, now: Millis): void {
		const monitored = this.#monitored.get(key)!;
		if (monitored.sequence === Number.POSITIVE_INFINITY) {
			monitored.sequence = sequence;
		}

		if (sequence >= monitored.sequence + announcementsToClear) {
			this.#monitored.delete(key);
			this.#poison.targetSurvived(monitored.targetId, monitored.incarnation, now);
		}
	}
}
