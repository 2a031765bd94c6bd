import type {Region} from '../ids/region.ts';
import {normalizeHost} from './normalize-host.ts';
import type {RoutesDocument} from './routes-document.ts';

const noRegions: ReadonlySet<Region> = new Set();

/** Homes of the routes of each host: a caller that asks for a host may call any of its routes. */
export class HostHomes {
	/** Regions that all of the host's routes with homes have in common; undefined for a host whose routes have none. */
	// eslint-disable-next-line no-restricted-syntax -- by host of the document
	readonly #common = new Map<string, ReadonlySet<Region> | undefined>();

	constructor({routes}: RoutesDocument) {
		for (const {host, homes} of routes) {
			const key = normalizeHost(host);
			const known = this.#common.get(key);
			this.#common.set(key, homes.length === 0 ? known : new Set(homes.filter(region => known?.has(region) ?? true)));
		}
	}

	/**
	 * Regions whose entries may take any request for the host; undefined if all may. Empty if the homes of its routes have no
	 * region in common, or if no route names the host: a newer document may, with homes.
	 */
	of(host: string): ReadonlySet<Region> | undefined {
		const name = normalizeHost(host);
		return this.#common.has(name) ? this.#common.get(name) : noRegions;
	}
}
