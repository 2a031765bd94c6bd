import type {Millis} from '../ids/millis.ts';
import {partFingerprint} from './part-fingerprint.ts';
import type {SuspectDigest} from './suspect-digest.ts';

/** Crashes after which a request is refused, and after which all requests with a part of a prompt are. */
const crashesToRefuse = {request: 2, part: 3};

/** Time within which a reported crash may still turn out to be only a broken connection, in milliseconds. */
const confirmationMs = 10_000;

/** Number of crashes in a record above which the oldest absolved ones are dropped. */
const maxCrashes = 8;

type Options = {
	/** Largest number of suspects; the one unchanged for longest is evicted. @default 4096 */
	readonly maxSuspects?: number;
	/** How long a request stays a suspect after its record last changed, in milliseconds. @default 600_000 */
	readonly suspectMs?: number;
	/** How long a request that is blamed for two crashes is refused, in milliseconds. @default 3_600_000 */
	readonly refuseMs?: number;
};

type SuspectRecord = {
	readonly crashes: Set<string>;
	readonly absolved: Set<string>;
	changedAt: Millis;
	version: number;
};

/**
 * Suspects by fingerprint. A suspect is blamed for the crashes in its record that it is not absolved of. Crashes and
 * absolved crashes are grow-only sets that are merged by union, so that nodes converge even if messages are lost,
 * duplicated or reordered.
 */
export class SuspectTable {
	readonly #maxSuspects: number;
	readonly #suspectMs: number;
	readonly #refuseMs: number;
	readonly #records = new Map<string, SuspectRecord>();
	#version = 0;
	/** Cache of the crashes that any suspect is blamed for; undefined if outdated. */
	#blamedCrashes: Set<string> | undefined;
	/** Cache of the crashes that a refused request is blamed for; undefined if outdated. */
	#explainedCrashes: Set<string> | undefined;

	constructor(options: Options = {}) {
		this.#maxSuspects = options.maxSuspects ?? 4096;
		this.#suspectMs = options.suspectMs ?? 600_000;
		this.#refuseMs = options.refuseMs ?? 3_600_000;
	}

	get size(): number {
		return this.#records.size;
	}

	/** Number of crashes that the request is blamed for. */
	blamedCrashCount(fingerprint: string): number {
		const record = this.#records.get(fingerprint);
		return record ? blamedCount(record) : 0;
	}

	/**
	 * True if the request is blamed for two crashes, or for one that no refused request explains. A request that shared
	 * a target with a refused one is no suspect for that crash alone, but the crash counts if another one follows.
	 */
	isSuspect(fingerprint: string): boolean {
		const record = this.#records.get(fingerprint);
		if (!record) {
			return false;
		}

		const crashes = blamedCrashes(record);
		this.#explainedCrashes ??= this.#collectExplained();
		return crashes.length >= refusalThreshold(fingerprint) || crashes.some(crash => !this.#explainedCrashes!.has(crash));
	}

	/**
	 * Time after which a refused request may be retried, in milliseconds; 0 if it is not refused. While its record
	 * changed less than `confirmationMs` ago, only the rest of that period: a crash may still be withdrawn.
	 */
	refusedForMs(fingerprint: string, now: Millis): number {
		const record = this.#records.get(fingerprint);
		if (!record || blamedCount(record) < refusalThreshold(fingerprint)) {
			return 0;
		}

		const age = now - record.changedAt;
		return Math.max(0, (age < confirmationMs ? confirmationMs : this.#refuseMs) - age);
	}

	version(fingerprint: string): number {
		return this.#records.get(fingerprint)?.version ?? 0;
	}

	/** Blames a request for a crash; true if the record changed. */
	addCrash(fingerprint: string, crash: string, now: Millis): boolean {
		return this.#merge(fingerprint, {crashes: [crash], absolved: [], changedAt: now});
	}

	/** Absolves a request of all its crashes; true if the record changed. */
	absolve(fingerprint: string, now: Millis): boolean {
		const crashes = this.#records.get(fingerprint)?.crashes ?? [];
		return this.#merge(fingerprint, {crashes: [], absolved: [...crashes], changedAt: now});
	}

	/** Fingerprints of the suspects blamed for a crash. */
	suspectsBlamedFor(crash: string): readonly string[] {
		return [...this.#records]
			.filter(([, record]) => record.crashes.has(crash) && !record.absolved.has(crash))
			.map(([fingerprint]) => fingerprint);
	}

	/** True if any suspect is blamed for this crash. */
	isBlamed(crash: string): boolean {
		this.#blamedCrashes ??= this.#collectBlamed();
		return this.#blamedCrashes.has(crash);
	}

	absolveCrash(fingerprint: string, crash: string, now: Millis): boolean {
		return this.#merge(fingerprint, {crashes: [], absolved: [crash], changedAt: now});
	}

	/** Merges another node's record; true if the record changed. */
	merge(digest: SuspectDigest, now: Millis): boolean {
		if (digest.ageMs >= this.#refuseMs) {
			return false;
		}

		return this.#merge(digest.fingerprint, {
			crashes: digest.crashes,
			absolved: digest.absolved,
			changedAt: now - digest.ageMs as Millis,
		});
	}

	digest(fingerprint: string, now: Millis): SuspectDigest | undefined {
		const record = this.#records.get(fingerprint);
		return record && {
			fingerprint,
			crashes: [...record.crashes],
			absolved: [...record.absolved],
			ageMs: now - record.changedAt,
			version: record.version,
		};
	}

	/** Fingerprints of the records changed last, newest first. */
	newest(limit: number): readonly string[] {
		return [...this.#records.keys()].slice(-limit).reverse();
	}

	/** Drops expired records. */
	expire(now: Millis): void {
		for (const [fingerprint, record] of this.#records) {
			const keepMs = blamedCount(record) >= refusalThreshold(fingerprint) ? this.#refuseMs : this.#suspectMs;
			if (now - record.changedAt >= keepMs) {
				this.#invalidateCaches();
				this.#records.delete(fingerprint);
			}
		}
	}

	#merge(fingerprint: string, update: {crashes: readonly string[]; absolved: readonly string[]; changedAt: Millis}): boolean {
		const record = this.#records.get(fingerprint) ?? {
			crashes: new Set<string>(), absolved: new Set<string>(), changedAt: update.changedAt, version: 0,
		};
		const before = record.crashes.size + record.absolved.size;
		addAll(record.crashes, update.crashes);
		addAll(record.absolved, update.absolved);
		if (record.crashes.size + record.absolved.size === before) {
			return false;
		}

		trimAbsolved(record);

		this.#version += 1;
		this.#invalidateCaches();
		record.version = this.#version;
		record.changedAt = Math.max(record.changedAt, update.changedAt) as Millis;
		this.#records.delete(fingerprint);
		this.#records.set(fingerprint, record);
		this.#evict();
		return true;
	}

	#invalidateCaches(): void {
		this.#blamedCrashes = undefined;
		this.#explainedCrashes = undefined;
	}

	#collectBlamed(): Set<string> {
		return new Set([...this.#records.values()].flatMap(record => blamedCrashes(record)));
	}

	#collectExplained(): Set<string> {
		const refused = [...this.#records].filter(([fingerprint, record]) => blamedCount(record) >= refusalThreshold(fingerprint));
		return new Set(refused.flatMap(([, record]) => blamedCrashes(record)));
	}

	#evict(): void {
		if (this.#records.size > this.#maxSuspects) {
			const [oldest] = this.#records.keys();
			this.#records.delete(oldest!);
		}
	}
}

function refusalThreshold(fingerprint: string): number {
	return partFingerprint.is(fingerprint) ? crashesToRefuse.part : crashesToRefuse.request;
}

function blamedCrashes(record: SuspectRecord): readonly string[] {
	return [...record.crashes].filter(crash => !record.absolved.has(crash));
}

function blamedCount(record: SuspectRecord): number {
	return blamedCrashes(record).length;
}

/** Makes room for later crashes: drops absolved ones, oldest first, while a record has more than `maxCrashes`. */
function trimAbsolved(record: SuspectRecord): void {
	for (const crash of record.absolved) {
		if (record.crashes.size <= maxCrashes && record.absolved.size <= maxCrashes) {
			return;
		}

		record.absolved.delete(crash);
		record.crashes.delete(crash);
	}
}

function addAll(set: Set<string>, values: readonly string[]): void {
	for (const value of values) {
		set.add(value);
	}
}
