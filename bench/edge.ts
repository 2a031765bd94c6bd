import {EdgeRegion} from './edge-region.ts';
import {printRows} from './print-rows.ts';

const regions = [{entries: 3, engines: 5}, {entries: 28, engines: 33}];
const loads = [0.4, 0.5, 0.6];
const seconds = 20;

/** Measures placement by many entries that do not see each other's requests: share of first events within their objective, by size of the region and load. */
export function benchEdge({json, seed}: {json: boolean; seed: number}): void {
	const rows = regions.flatMap(region => loads.map(load => {
		const figures = new EdgeRegion({
			...region, load, seconds, seed,
		}).run();
		return {...region, load, ...figures};
	}));
	printRows(rows, json);
}
