import type {Brand} from './brand.ts';

/** Casts a validated string to an id. Use it only where a value enters the core, and in tests. */
export function toId<Id extends Brand<string, string>>(value: string): Id {
	return value as Id;
}
