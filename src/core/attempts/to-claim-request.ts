import type {ClaimRequest} from '../ledger/claim-request.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';

/** Builds the claim that a non-repeatable request needs before its first byte is sent to a target. */
export function toClaimRequest(req: RequestInfo, idempotencyKey: string, settings: RouteSettings): ClaimRequest {
	const {firm, deployment, service} = req.path;
	return {
		requestId: req.requestId,
		scope: `${firm}/${deployment}/${service}/${req.organisation}`,
		organisation: req.organisation,
		idempotencyKey,
		fingerprint: req.fingerprint,
		homeRegion: req.homeRegion,
		keepMs: settings.answerKeepMs,
		keepBytes: settings.answerKeepBytes,
	};
}
