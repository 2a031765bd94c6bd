import type {OrganisationId} from '../ids/organisation-id.ts';
import type {RouteRule} from '../routes/route-rule.ts';
import type {RouteTable} from '../routes/route-table.ts';
import type {EdgeRefusal} from './edge-refusal.ts';
import type {EdgeRequest} from './edge-request.ts';

type Identity =
	| {readonly organisation?: OrganisationId}
	| {readonly refusal: EdgeRefusal['reason']};

type Options = {
	readonly route: RouteRule;
	readonly table: RouteTable;
	/** True if a newer document may have been accepted that this entry does not have. */
	readonly mayBeBehind: boolean;
};

/**
 * Finds the organisation whose request this is, before the request is placed. Undefined where no organisations are
 * configured, and for a request without a known key on an open route.
 */
export function identifyCaller(req: EdgeRequest, {route, table, mayBeBehind}: Options): Identity {
	const {organisations} = table;
	const isOpen = organisations.isEmpty || route.isOpen;
	if (req.forwarded !== undefined) {
		// The other entry has identified the caller. One with the same document that names no organisation is of a build that doesn't.
		const isUnidentified = req.organisation === undefined && !isOpen && req.forwarded.documentVersion === table.version;
		return isUnidentified ? {refusal: 'outdated'} : {organisation: req.organisation};
	}

	const organisation = req.keyDigest && organisations.withKey(req.keyDigest)?.name;
	if (organisation !== undefined || isOpen) {
		return {organisation};
	}

	// A newer document may have the key. No document makes a missing key valid, unless it opens the route.
	return {refusal: req.keyDigest !== undefined && mayBeBehind ? 'key-unverified' : 'unauthorized'};
}
