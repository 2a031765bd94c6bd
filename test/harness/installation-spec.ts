import type {TreeOperation} from '../../src/core/tree/tree-operation.ts';
import type {NodeSpec} from './node-spec.ts';
import type {TargetSpec} from './target-spec.ts';

/** Nodes, targets and initial settings of an installation under test. */
export type InstallationSpec = {
	readonly firm: string;
	readonly deployment: string;
	readonly nodes: readonly NodeSpec[];
	readonly targets: readonly TargetSpec[];
	/** Operations of the initial change of the settings tree. */
	readonly operations: readonly TreeOperation[];
	/** True to put a fault proxy on every link. */
	readonly proxies: boolean;
	/** One-way delay between regions, in milliseconds; has an effect only with proxies. */
	readonly regionDelayMs: number;
	/** Key with which every target authenticates its announcements. */
	readonly targetKey: string;
	/** Starts nodes as a deployment does: the bundle that is shipped, with this heap in MB. */
	readonly shippedHeapMb?: number;
};
