import type {Region} from '../ids/region.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {RequestRecord} from './request-record.ts';

/** Regions that may serve a request: homes of its route, as they were on arrival and as they are in the document in force. Undefined if all may. */
export function homesOf({req, route, table}: RequestRecord, current: RouteTable | undefined): readonly Region[] | undefined {
	const routeInForce = current === undefined || current === table ? route : current.match(req.host, req.path);
	const restrictions = [route.homes, routeInForce?.homes ?? []].filter(homes => homes.length > 0);
	const [first, second] = restrictions;
	return second === undefined ? first : first!.filter(region => second.includes(region));
}
