import type {TargetId} from '../src/core/ids/target-id.ts';
import type {PolicyEngine} from './policy-engine.ts';

/** One target of a run: a model engine, or a plain service that is modelled as an engine of one-token answers. */
export type PolicyTarget = {
	readonly targetId: TargetId;
	/** Index of its region. */
	readonly region: number;
	readonly service: 'engines' | 'desk';
	readonly engine: PolicyEngine;
	/** Announcements sent so far. */
	sequence: number;
};
