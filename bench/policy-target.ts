import type {TargetId} from '../src/core/ids/target-id.ts';
import type {PolicyEngine} from './policy-engine.ts';

/** One target of a run: an engine, or a plain service that is modelled as an engine with one-token answers. */
export type PolicyTarget = {
	readonly targetId: TargetId;
	/** Index of its region in the deployment. */
	readonly region: number;
	readonly service: 'engines' | 'desk';
	readonly engine: PolicyEngine;
	/** Number of announcements sent so far. */
	sequence: number;
};
