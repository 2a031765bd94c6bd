import type {RouteTable} from '../routes/route-table.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';
import {isIdempotent} from './is-idempotent.ts';

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

	const route = table.match(req.host, req.path);
	if (route === undefined) {
		return 'no-route';
	}

	// The other entry would send it to a further target after a failure here.
	return req.forwarded?.isIdempotent === true && !isIdempotent(route) ? 'outdated' : undefined;
}
