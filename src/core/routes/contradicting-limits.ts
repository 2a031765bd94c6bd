import type {Organisation} from '../organisations/organisation.ts';
import type {CallerLimits} from './caller-limits.ts';
import type {RouteRule} from './route-rule.ts';
import type {RoutesDocument} from './routes-document.ts';

/** Limits of a valid routes document of which one defeats the other, as messages for the operator. */
export function contradictingLimits({routes, services, organisations, limits}: RoutesDocument): readonly string[] {
	const engines = new Set(services.filter(({engine}) => engine !== undefined).map(({name}) => name));
	return [
		...routes.flatMap(route => routeContradictions(route)),
		...routes
			.filter(({kind, split}) => kind !== 'stream' && split.some(({service}) => engines.has(service)))
			.map(({name}) => `route ${name}: it leads to a service of model engines, but its kind is not that of streams: its answers are buffered whole; correct the kind`),
		...services
			.filter(({engine}) => engine !== undefined && (!(engine.slots >= 1) || !(engine.cacheTokens >= 1)))
			.map(({name}) => `service ${name}: its engines have no slot or no KV cache, so that no request fits: correct the numbers`),
		...organisations.flatMap(organisation => quotaContradictions(organisation)),
		...callerLimitContradictions(limits),
	];
}

function routeContradictions({name, kind, timeoutMs, objectiveMs, gapMs, attempts, resumable}: RouteRule): readonly string[] {
	const isStream = kind === 'stream';
	return [
		...objectiveMs > timeoutMs
			? [`route ${name}: the latency objective (${objectiveMs} ms) is longer than the timeout (${timeoutMs} ms): requests time out before they are late; raise the timeout or lower the objective`]
			: [],
		...isStream && gapMs > timeoutMs ? [`route ${name}: the longest pause of ${gapMs} ms is longer than the timeout of ${timeoutMs} ms: lower it`] : [],
		...attempts < 1 ? [`route ${name}: with ${attempts} attempts no target may get a request: allow at least 1`] : [],
		...resumable && !isStream ? [`route ${name}: only streams can be resumed: correct the kind, or make it not resumable`] : [],
		...resumable && attempts === 1 ? [`route ${name}: its streams may be resumed at another target, but a request may run on one only: allow 2 attempts or more`] : [],
	];
}

function quotaContradictions({name, quota}: Organisation): readonly string[] {
	if (quota === undefined) {
		return [];
	}

	const {unit, perSecond, burst, defaultTokens} = quota;
	const smallest = unit === 'requests' ? 1 : defaultTokens;
	return perSecond + burst < smallest
		? [`organisation ${name}: the quota of ${perSecond} ${unit} a second with a burst of ${burst} is below the cost of one request (${smallest}): no request passes at once; raise the burst`]
		: [];
}

function callerLimitContradictions({headerBytes, bodyBytes, headerTimeoutMs, idleTimeoutMs}: CallerLimits): readonly string[] {
	const values = {
		'largest headers': headerBytes, 'largest body': bodyBytes, 'time for the headers': headerTimeoutMs, 'idle timeout': idleTimeoutMs,
	};
	return [
		...Object.entries(values)
			.filter(([, value]) => !(value > 0))
			.map(([limit, value]) => `limits: ${limit} is ${value}, so that every request is refused: raise it`),
		...headerTimeoutMs > idleTimeoutMs ? [`limits: callers have ${headerTimeoutMs} ms for the headers, but idle connections are closed after ${idleTimeoutMs} ms: raise the idle timeout`] : [],
	];
}
