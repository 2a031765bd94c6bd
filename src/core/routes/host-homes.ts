import type {Region} from '../ids/region.ts';
import type {RoutesDocument} from './routes-document.ts';

/** Homes of the routes of each host: a caller that asks for a host may call any of its routes. */
export class HostHomes {
	/** Regions that all of the host's routes with homes have in common. */
	readonly #common = new Map<string, ReadonlySet<Region>>();

	constructor({routes}: RoutesDocument) {
		for (const {host, homes} of routes) {
			if (homes.length === 0) {
				continue;
			}

			const key = host.toLowerCase();
			const known = this.#common.get(key);
			this.#common.set(key, new Set(homes.filter(region => known?.has(region) ?? true)));
		}
	}

	/** Regions whose entries may take any request for the host; undefined if all may. Empty if the homes of its routes have no region in common. */
	of(host: string): ReadonlySet<Region> | undefined {
		return this.#common.get(host.toLowerCase());
	}
}
