import {EdgeRegion} from './edge-region.ts';
import {printRows} from './print-rows.ts';

const region = {entries: 6, engines: 6};
const seconds = 14;
/** Load at which the engines of `bench -- edge` serve all they can, as a share of their prefill rate. */
const capacityLoad = 0.55;
/** A surge or loss begins after this time, in milliseconds. */
const eventAt = 6000;
const burstMs = 3000;
const lossMs = 2000;
const burstFactor = 2.8;

/** Measures admission at loads up to a multiple of the capacity, in a burst, with callers that come back at once, and while a quarter of the targets is lost. */
export function benchRoom({json, seed}: {json: boolean; seed: number}): void {
	const surge = (ms: number) => ms >= eventAt && ms < eventAt + burstMs ? burstFactor : 0.8;
	const scenarios = {
		'load 0.8': {load: 0.8},
		'load 1.0': {load: 1},
		'load 1.5': {load: 1.5},
		'load 2.8': {load: 2.8},
		'load 2.8, returning at once': {load: 2.8, retries: 'at-once'},
		'load 2.8, returning as told': {load: 2.8, retries: 'as-told'},
		'burst of 3 s': {load: 1, surge, retries: 'as-told'},
		'a quarter lost for 2 s': {load: 0.8, loss: {share: 0.25, from: eventAt, until: eventAt + lossMs}, retries: 'as-told'},
	} as const;
	printRows(Object.entries(scenarios).map(([scenario, {load, ...options}]) => {
		const {requests, refused, longInTime, shortInTime, goodput, refusalP50Ms, heldShare, recoveryMs} = new EdgeRegion({
			...region, ...options, load: load * capacityLoad, seconds, seed,
		}).run();
		return {
			scenario, requests, refused, longInTime, shortInTime, goodput, refusalP50Ms, heldShare, recoveryMs,
		};
	}), json);
}
