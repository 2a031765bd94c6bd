import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RegionLoad} from '../registry/region-load.ts';
import {meanCostSummary} from './mean-cost-summary.ts';
import {ServiceCosts} from './service-costs.ts';
import type {StartError} from './start-error.ts';

/** Learned costs of each service at this entry. */
export class CostBook {
	readonly #services = new Map<ServiceName, ServiceCosts>();

	of(service: ServiceName): ServiceCosts {
		const known = this.#services.get(service);
		if (known !== undefined) {
			return known;
		}

		const costs = new ServiceCosts();
		this.#services.set(service, costs);
		return costs;
	}

	/** Takes what control tells of the services in each region; the own region's figures are preferred, those of the others are averaged. */
	update(regions: readonly RegionLoad[], ownRegion: Region): void {
		const own = regions.find(({region}) => region === ownRegion)?.loads ?? [];
		const all = regions.flatMap(({loads}) => loads);
		for (const service of new Set(all.map(load => load.service))) {
			const costs = this.of(service);
			// Its own measurements have replaced the summary by then.
			if (!costs.isMeasured) {
				const summary = own.find(load => load.service === service)?.costs
					?? meanCostSummary(all.filter(load => load.service === service).flatMap(load => load.costs ?? []));
				costs.setSummary(summary);
			}
		}
	}

	/** Errors of the predicted starts, of each service with any. */
	startErrors(): readonly StartError[] {
		return [...this.#services].flatMap(([service, {startErrors}]) => {
			const [median, p90] = [startErrors.quantile(0.5), startErrors.quantile(0.9)];
			return median === undefined || p90 === undefined ? [] : [{service, median: Number(median.toPrecision(3)), p90: Number(p90.toPrecision(3))}];
		});
	}
}
