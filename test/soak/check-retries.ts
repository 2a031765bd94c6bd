import {retryExcess} from '../fixtures/retry-excess.ts';
import type {SoakService} from './soak-service.ts';

/** Retry budget over all entries; the entries' settings have these defaults. */
const repeats = {ratio: 0.2, slack: 10, windowMs: 10_000};

type Request = {readonly service: SoakService; readonly at: number};
type Arrival = Request & {readonly key: string};

/** Checks the arrivals at the targets of each service, over all entries, against the retry budget; returns a message for each service that had more. Times are on one clock, in milliseconds. */
export function checkRetries(requests: readonly Request[], arrivals: readonly Arrival[]): string[] {
	const services = new Set(arrivals.map(({service}) => service));
	return [...services].flatMap(service => {
		const arrived = arrivals.filter(arrival => arrival.service === service).toSorted((left, right) => left.at - right.at);
		const excess = retryExcess(arrived, requests.filter(request => request.service === service).map(({at}) => at), repeats);
		return excess > 0 ? [`${service} got ${excess.toFixed(1)} arrivals beyond the retry budget in ${repeats.windowMs} ms`] : [];
	});
}
