import type {StateMemory} from '../core/memory/state-memory.ts';
import type {Metrics} from './metrics.ts';

/** Exports one gauge for each kind of state that a process keeps for clients, in bytes. */
export function exportStateGauges(metrics: Metrics, state: StateMemory): void {
	for (const kind of state.kinds) {
		metrics.gauge(`state_${kind.replaceAll('-', '_')}_bytes`, () => state.budget(kind).bytes);
	}
}
