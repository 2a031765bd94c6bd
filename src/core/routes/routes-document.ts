import type {Organisation} from '../organisations/organisation.ts';
import type {CallerLimits} from './caller-limits.ts';
import type {RouteRule} from './route-rule.ts';
import type {ServiceSpec} from './service-spec.ts';

/** Complete configuration of the gateway for opaque requests; the document with the highest version is in force. */
export type RoutesDocument = {
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly services: readonly ServiceSpec[];
	readonly limits: CallerLimits;
	/** Organisations whose callers need a key, except on open routes; empty if no request needs one. */
	readonly organisations: readonly Organisation[];
};
