import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {Zone} from '../ids/zone.ts';
import type {TargetRegistry} from '../registry/target-registry.ts';
import type {RoutesState} from '../routes/routes-state.ts';

type EvacuationChangesOptions = {
	readonly state: RoutesState;
	readonly registry: TargetRegistry;
	readonly outbox: Outbox;
};

/**
 * Logs the beginning and end of evacuations. When one ends, the zone's targets are marked as possibly cold: they
 * may have become cold without having reported it yet, so entries send them no requests before their next report.
 */
export class EvacuationChanges {
	readonly #options: EvacuationChangesOptions;
	#evacuated: ReadonlySet<Zone>;

	constructor(options: EvacuationChangesOptions) {
		this.#options = options;
		this.#evacuated = new Set(options.state.evacuated());
	}

	/** Handles what has changed in the replicated state since the last call. */
	apply(now: Millis): void {
		const {state, registry, outbox} = this.#options;
		const evacuated = new Set(state.evacuated());
		for (const zone of this.#evacuated) {
			if (!evacuated.has(zone)) {
				registry.markMaybeCold(zone, now);
				outbox.event('evacuation-ended', {zone, index: state.index});
			}
		}

		for (const zone of evacuated) {
			if (!this.#evacuated.has(zone)) {
				outbox.event('evacuation-began', {zone, index: state.index});
			}
		}

		this.#evacuated = evacuated;
	}
}
