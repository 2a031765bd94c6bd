import type {Zone} from '../ids/zone.ts';
import type {RoutesCommand} from './routes-command.ts';
import type {RoutesOutcome} from './routes-outcome.ts';
import type {RoutesSnapshot} from './routes-snapshot.ts';
import type {StoredDocument} from './stored-document.ts';
import type {ZoneEvacuation} from './zone-evacuation.ts';

/** Part of the replicated state: the routes document and the evacuated zones. */
export class RoutesState {
	#index = 0;
	#document: StoredDocument | undefined;
	readonly #evacuations = new Map<Zone, ZoneEvacuation>();

	/** Log index of the newest change. */
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
		if (command.type === 'document') {
			const {document} = command;
			if (this.#document !== undefined && document.version <= this.#document.version) {
				return {type: 'routes', result: 'kept'};
			}

			this.#document = document;
			this.#index = index;
			return {type: 'routes', result: 'applied'};
		}

		const {zone, active, basis} = command;
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

	snapshot(): RoutesSnapshot {
		return {index: this.#index, document: this.#document, evacuations: [...this.#evacuations.values()]};
	}

	restore({index, document, evacuations}: RoutesSnapshot): void {
		this.#index = index;
		this.#document = document;
		this.#evacuations.clear();
		for (const evacuation of evacuations) {
			this.#evacuations.set(evacuation.zone, evacuation);
		}
	}
}
