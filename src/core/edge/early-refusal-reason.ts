import type {RouteTable} from '../routes/route-table.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';

/** Reason to refuse a request before it gets a record; undefined if it can be handled. `closed` is true once new requests are refused. */
export function earlyRefusalReason(req: EdgeRequest, {table, closed}: {table: RouteTable | undefined; closed: boolean}): EdgeRefusal['reason'] | undefined {
	if (table === undefined) {
		return 'not-configured';
	}

	if (closed) {
		return 'leaving';
	}

	if (req.forwarded !== undefined && req.forwarded.documentVersion > table.version) {
		return 'outdated';
	}

	return table.match(req.host, req.path) === undefined ? 'no-route' : undefined;
}
