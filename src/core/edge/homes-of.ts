import {intersectRestrictions} from '../common/intersect-restrictions.ts';
import type {Region} from '../ids/region.ts';
import type {RouteRule} from '../routes/route-rule.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {EdgeRequest} from './edge-request.ts';
import type {RequestRecord} from './request-record.ts';

/** Regions that may serve a request: homes of its route and of its organisation, as they were on arrival and as they are in the document in force. Undefined if all may. */
export function homesOf({req, route, table}: RequestRecord, current: RouteTable | undefined): readonly Region[] | undefined {
	const homes = homesUnder(table, route, req);
	return current === undefined || current === table
		? homes
		: intersectRestrictions(homes, homesUnder(current, current.match(req.host, req.path), req));
}

/** Homes under one document. It may name an organisation that the document of the arrival lacks: the request's key tells which. */
function homesUnder({organisations}: RouteTable, route: RouteRule | undefined, {organisation: name, keyDigest}: EdgeRequest): readonly Region[] | undefined {
	const organisation = (name === undefined ? undefined : organisations.get(name)) ?? (keyDigest && organisations.withKey(keyDigest));
	return intersectRestrictions(toRestriction(route?.homes), toRestriction(organisation?.homes));
}

/** Homes as a restriction: an empty list allows all regions. */
function toRestriction(homes: readonly Region[] | undefined): readonly Region[] | undefined {
	return homes?.length === 0 ? undefined : homes;
}
