import type {Region} from '../ids/region.ts';

type Restricted = {readonly residency?: readonly Region[]};

/** True if the residency of both the request and its route allow a region. */
export function residencyAllows({req, settings}: {readonly req: Restricted; readonly settings: Restricted}, region: Region): boolean {
	return [req.residency, settings.residency].every(allowed => allowed?.includes(region) ?? true);
}
