import {normalizeHost} from './normalize-host.ts';
import type {RouteRule} from './route-rule.ts';
import type {RoutesDocument} from './routes-document.ts';

/** Characters that a path on the wire never contains: blanks and everything that has to be percent-encoded, and what begins the query or the fragment. */
const outsidePathPattern = /[^\u0021-\u007E]|[?#]/v;

/** Entries of a valid routes document that no request can reach, as messages for the operator. */
export function unreachableEntries({routes, services, organisations}: RoutesDocument): readonly string[] {
	const used = new Set(routes.flatMap(({split}) => split.filter(({weight}) => weight > 0).map(({service}) => service)));
	return [
		...routes.flatMap(route => unreachableParts(route)),
		...services
			.filter(({name}) => !used.has(name))
			.map(({name}) => `service ${name}: no route leads to it: add a route or remove it`),
		...organisations
			.filter(({keyDigests}) => keyDigests.length === 0)
			.map(({name}) => `organisation ${name}: it has no key, so that no request is its own: add a key or remove it`),
		...organisations.flatMap(({name, homes}) => routes
			.filter(route => !route.isOpen && areDisjoint(homes, route.homes))
			.map(route => {
				const regions = `none of its home regions (${homes.join(', ')}) is a home of route ${route.name} (${route.homes.join(', ')})`;
				return `organisation ${name}: ${regions}: its requests there are always refused; give them a region in common`;
			})),
	];
}

function unreachableParts({name, host, prefix, split}: RouteRule): readonly string[] {
	return [
		...normalizeHost(host) === host.toLowerCase() ? [] : [`route ${name}: host ${host} has a port, which is left out when requests are matched: remove the port`],
		...outsidePathPattern.test(prefix) ? [`route ${name}: prefix ${prefix} has characters that no path contains: percent-encode them, and leave out queries`] : [],
		...split
			.filter(({weight}) => weight === 0)
			.map(({service}) => `route ${name}: service ${service} has weight 0 and gets no requests: raise the weight or remove it`),
	];
}

function areDisjoint<T>(left: readonly T[], right: readonly T[]): boolean {
	return left.length > 0 && right.length > 0 && !left.some(value => right.includes(value));
}
