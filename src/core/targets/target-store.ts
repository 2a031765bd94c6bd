import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import type {TargetRecord} from './target-record.ts';

/** How long a target whose lease ended is kept after its last announcement, so that no late announcement revives it, in milliseconds. */
const endedRetentionMs = 600_000;

/** Largest number of targets kept after their lease ended. */
const maxEndedTargets = 2048;

/** The records of a region's targets, indexed by id, handle and service. */
export class TargetStore {
	readonly #byId = new Map<TargetId, TargetRecord>();
	readonly #byHandle = new Map<number, TargetRecord>();
	readonly #byService = new Map<string, TargetRecord[]>();

	get(targetId: TargetId): TargetRecord | undefined {
		return this.#byId.get(targetId);
	}

	getByHandle(handle: number): TargetRecord | undefined {
		return this.#byHandle.get(handle);
	}

	/** Records of a service (`firm/deployment/service`), including those whose lease ended. */
	getByService(service: string): readonly TargetRecord[] {
		return this.#byService.get(service) ?? [];
	}

	services(): Iterable<readonly TargetRecord[]> {
		return this.#byService.values();
	}

	all(): Iterable<TargetRecord> {
		return this.#byId.values();
	}

	add(record: TargetRecord): void {
		this.#byId.set(record.targetId, record);
		this.#byHandle.set(record.handle, record);
		const service = this.serviceKey(record.announcement);
		this.#byService.set(service, [...this.getByService(service), record]);
	}

	/** Applies a newer announcement to a record and updates the indexes. */
	update(record: TargetRecord, next: {announcement: Announcement; heardAt: Millis; awakeHeardAt: Millis; direct: boolean}): void {
		const known = record.announcement;
		const keysChanged = known.incarnation !== next.announcement.incarnation
			|| this.serviceKey(known) !== this.serviceKey(next.announcement);
		if (!keysChanged) {
			record.update(next.announcement, next.heardAt, next.direct, next.awakeHeardAt);
			return;
		}

		this.#remove(record);
		record.update(next.announcement, next.heardAt, next.direct, next.awakeHeardAt);
		this.add(record);
	}

	/** Removes targets whose lease ended long ago, and the oldest ones beyond `maxEndedTargets`. */
	prune(now: Millis): void {
		const ended = [...this.#byId.values()].filter(record => record.leaseEnded);
		ended.sort((a, b) => b.heardAt - a.heardAt);
		for (const [index, record] of ended.entries()) {
			if (index >= maxEndedTargets || now - record.heardAt > endedRetentionMs) {
				this.#remove(record);
			}
		}
	}

	/** Key of a service: `firm/deployment/service`. */
	serviceKey(service: {readonly firm: string; readonly deployment: string; readonly service: string}): string {
		return `${service.firm}/${service.deployment}/${service.service}`;
	}

	#remove(record: TargetRecord): void {
		this.#byId.delete(record.targetId);
		if (this.#byHandle.get(record.handle) === record) {
			this.#byHandle.delete(record.handle);
		}

		const service = this.serviceKey(record.announcement);
		const rest = this.getByService(service).filter(other => other !== record);
		if (rest.length > 0) {
			this.#byService.set(service, rest);
		} else {
			this.#byService.delete(service);
		}
	}
}
