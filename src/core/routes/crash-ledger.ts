import type {CrashId} from '../ids/crash-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import type {CrashLedgerSnapshot} from './crash-ledger-snapshot.ts';
import type {CrashReport} from './crash-report.ts';
import type {SuspectTrait} from './suspect-trait.ts';

/** Largest number of traits kept; beyond it, the one that was blamed first and for the fewest crashes is dropped. */
const maxTraits = 2048;
/** Largest number of cleared crashes remembered for a trait, so that a report that arrives again does not blame it anew. */
const maxClearedCrashes = 16;
/** Fewest crashes from which on entries are told of a trait. One crash says little: all that ran on the target is blamed for it. */
const crashesToSuspect = 2;

type TraitRecord = {blamed: CrashId[]; cleared: CrashId[]; trials: number};

/** A crash that can still be withdrawn, since its target may turn out to be alive. */
type KnownCrash = Omit<CrashReport, 'traits'>;

/**
 * Part of the replicated state: which traits of requests are blamed for crashes of targets.
 *
 * Whatever ran on a target that crashed is blamed for it. A trait that requests are served with is cleared of the
 * crashes so far by the next complete answer, one that crashes every target never is.
 */
export class CrashLedger {
	#index = 0;
	// eslint-disable-next-line no-restricted-syntax -- replicated, so that all nodes have to drop the same ones: `maxTraits` bounds it
	readonly #traits = new Map<RequestTrait, TraitRecord>();
	readonly #crashes = new Map<CrashId, KnownCrash>();

	/** Log index of the newest change of the suspects. */
	get index(): number {
		return this.#index;
	}

	/** Crashes that traits are blamed for. */
	crashes(): readonly KnownCrash[] {
		return [...this.#crashes.values()];
	}

	/** True if the trait is blamed for a crash or was cleared of it. */
	knows(trait: RequestTrait, crash: CrashId): boolean {
		const record = this.#traits.get(trait);
		return record !== undefined && (record.blamed.includes(crash) || record.cleared.includes(crash));
	}

	/** Crashes that the trait is blamed for. */
	blamedFor(trait: RequestTrait): readonly CrashId[] {
		return this.#traits.get(trait)?.blamed ?? [];
	}

	/** Traits that entries have to know of. */
	suspects(): readonly SuspectTrait[] {
		return [...this.#traits]
			.filter(([, {blamed}]) => blamed.length >= crashesToSuspect)
			.map(([trait, {blamed, trials}]) => ({trait, crashes: blamed, trials}));
	}

	/** Blames the traits of reported crashes; returns whether that changes anything. */
	record(index: number, reports: readonly CrashReport[]): boolean {
		let changed = false;
		for (const {traits, ...crash} of reports) {
			for (const trait of traits.filter(candidate => !this.knows(candidate, crash.crash))) {
				changed = true;
				this.#crashes.set(crash.crash, crash);
				const record = this.#traits.get(trait) ?? {blamed: [], cleared: [], trials: 0};
				record.blamed.push(crash.crash);
				this.#traits.set(trait, record);
				this.#noteChange(index, record.blamed.length);
			}
		}

		this.#limit();
		return changed;
	}

	/** Clears traits of all their crashes so far, since requests with them were answered in full. */
	clear(index: number, traits: readonly RequestTrait[]): boolean {
		let changed = false;
		for (const trait of traits) {
			const record = this.#traits.get(trait);
			if (record !== undefined && record.blamed.length > 0) {
				changed = true;
				this.#noteChange(index, record.blamed.length);
				record.cleared = [...record.cleared, ...record.blamed].slice(-maxClearedCrashes);
				record.blamed = [];
				record.trials = 0;
			}
		}

		this.#forgetUnblamedCrashes();
		return changed;
	}

	/** Grants trial `number` of a trait, so that one request may run in spite of it; false if that trial was granted before. */
	grantTrial(index: number, trait: RequestTrait, number: number): boolean {
		const record = this.#traits.get(trait);
		if (record?.trials !== number - 1) {
			return false;
		}

		record.trials = number;
		this.#noteChange(index, record.blamed.length);
		return true;
	}

	/** Withdraws crashes of targets that turned out to be alive; their incarnations may still crash later. */
	withdraw(index: number, crashes: readonly CrashId[]): boolean {
		const withdrawn = new Set(crashes.filter(crash => this.#crashes.has(crash)));
		for (const record of this.#traits.values()) {
			const kept = record.blamed.filter(crash => !withdrawn.has(crash));
			if (kept.length < record.blamed.length) {
				this.#noteChange(index, record.blamed.length);
				record.blamed = kept;
			}
		}

		this.#forgetUnblamedCrashes();
		return withdrawn.size > 0;
	}

	snapshot(): CrashLedgerSnapshot {
		return {
			index: this.#index,
			traits: [...this.#traits].map(([trait, {blamed, cleared, trials}]) => ({
				trait, blamed: [...blamed], cleared: [...cleared], trials,
			})),
			crashes: this.crashes(),
		};
	}

	restore({index, traits, crashes}: CrashLedgerSnapshot): void {
		this.#index = index;
		this.#traits.clear();
		this.#crashes.clear();
		for (const {trait, blamed, cleared, trials} of traits) {
			this.#traits.set(trait, {blamed: [...blamed], cleared: [...cleared], trials});
		}

		for (const crash of crashes) {
			this.#crashes.set(crash.crash, crash);
		}
	}

	/** Notes a change of a trait that is, or was, blamed for `crashes` crashes: entries are told of suspects only. */
	#noteChange(index: number, crashes: number): void {
		if (crashes >= crashesToSuspect) {
			this.#index = index;
		}
	}

	#limit(): void {
		if (this.#traits.size <= maxTraits) {
			return;
		}

		// The sort is stable, so that those that were blamed first come first among equals.
		const ranked = [...this.#traits].sort(([, left], [, right]) => left.blamed.length - right.blamed.length);
		for (const [trait] of ranked.slice(0, this.#traits.size - maxTraits)) {
			this.#traits.delete(trait);
		}

		this.#forgetUnblamedCrashes();
	}

	#forgetUnblamedCrashes(): void {
		const blamed = new Set([...this.#traits.values()].flatMap(record => record.blamed));
		for (const crash of this.#crashes.keys()) {
			if (!blamed.has(crash)) {
				this.#crashes.delete(crash);
			}
		}
	}
}
