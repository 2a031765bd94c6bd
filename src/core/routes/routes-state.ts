import type {Zone} from '../ids/zone.ts';
import {CrashLedger} from './crash-ledger.ts';
import type {RoutesCommand} from './routes-command.ts';
import type {RoutesOutcome} from './routes-outcome.ts';
import type {RoutesSnapshot} from './routes-snapshot.ts';
import type {StoredDocument} from './stored-document.ts';
import type {ZoneEvacuation} from './zone-evacuation.ts';

/** Part of the replicated state: the routes document, the evacuated zones and what is blamed for crashes of targets. */
export class RoutesState {
	readonly crashes = new CrashLedger();
	#index = 0;
	#document: StoredDocument | undefined;
	readonly #evacuations = new Map<Zone, ZoneEvacuation>();

	/** Log index of the newest change of the document or of an evacuation. */
	get index(): number {
		return this.#index;
	}

	get document(): StoredDocument | undefined {
		return this.#document;
	}

	/** Zones whose targets get no requests now. */
	evacuated(): readonly Zone[] {
		return [...this.#evacuations.values()].filter(({active}) => active).map(({zone}) => zone);
	}

	/** Last evacuation command that was applied to a zone. */
	evacuation(zone: Zone): ZoneEvacuation | undefined {
		return this.#evacuations.get(zone);
	}

	apply(index: number, command: RoutesCommand): RoutesOutcome {
		switch (command.type) {
			case 'document': {
				return this.#applyDocument(index, command.document);
			}

			case 'evacuation': {
				return this.#applyEvacuation(index, command);
			}

			case 'crashes': {
				return toOutcome(this.crashes.record(index, command.reports));
			}

			case 'traits-served': {
				return toOutcome(this.crashes.clear(index, command.traits));
			}

			case 'trial': {
				return {type: 'routes', result: this.crashes.grantTrial(index, command.trait, command.number) ? 'applied' : 'stale'};
			}

			case 'crashes-withdrawn': {
				return toOutcome(this.crashes.withdraw(index, command.crashes));
			}
		}
	}

	snapshot(): RoutesSnapshot {
		return {
			index: this.#index, document: this.#document, evacuations: [...this.#evacuations.values()], crashes: this.crashes.snapshot(),
		};
	}

	restore({index, document, evacuations, crashes}: RoutesSnapshot): void {
		this.#index = index;
		this.#document = document;
		this.#evacuations.clear();
		for (const evacuation of evacuations) {
			this.#evacuations.set(evacuation.zone, evacuation);
		}

		this.crashes.restore(crashes ?? {index: 0, traits: [], crashes: []});
	}

	#applyDocument(index: number, document: StoredDocument): RoutesOutcome {
		if (this.#document !== undefined && document.version <= this.#document.version) {
			return {type: 'routes', result: 'kept'};
		}

		this.#document = document;
		this.#index = index;
		return {type: 'routes', result: 'applied'};
	}

	#applyEvacuation(index: number, {zone, active, basis}: RoutesCommand & {type: 'evacuation'}): RoutesOutcome {
		const last = this.#evacuations.get(zone);
		if ((last?.active ?? false) === active) {
			return {type: 'routes', result: 'kept'};
		}

		if ((last?.index ?? 0) > basis) {
			return {type: 'routes', result: 'stale'};
		}

		this.#evacuations.set(zone, {zone, active, index});
		this.#index = index;
		return {type: 'routes', result: 'applied'};
	}
}

function toOutcome(changed: boolean): RoutesOutcome {
	return {type: 'routes', result: changed ? 'applied' : 'kept'};
}
