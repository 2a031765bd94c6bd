import {intersectRestrictions} from '../common/intersect-restrictions.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {SettingsTree} from '../tree/settings-tree.ts';

/** Settings of a request's route, with the residency narrowed by that of the caller's key, as the tree has both now; undefined if the route does not exist. */
export function currentSettings(req: RequestInfo, tree: SettingsTree): RouteSettings | undefined {
	const settings = tree.route(req.path);
	const callerResidency = tree.callerKey(req.callerKey)?.key.residency;
	return settings && callerResidency
		? {...settings, residency: intersectRestrictions(settings.residency, callerResidency)}
		: settings;
}
