import type {RequestRecord} from './request-record.ts';

/** Number of ways over another entry that an overlap takes: that of the sign that began it, and that of the cancel that ends it. */
export function overlapHops({running, kept}: Pick<RequestRecord, 'running' | 'kept'>): 0 | 1 | 2 {
	const isSignForwarded = running?.forwardedTo !== undefined;
	const isCancelForwarded = kept.some(({forwardedTo}) => forwardedTo !== undefined);
	return isSignForwarded && isCancelForwarded ? 2 : (isSignForwarded || isCancelForwarded ? 1 : 0);
}
