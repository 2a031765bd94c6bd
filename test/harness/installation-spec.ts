import type {TreeOperation} from '../../src/core/tree/tree-operation.ts';
import type {NodeSpec} from './node-spec.ts';
import type {TargetSpec} from './target-spec.ts';

/** What the launcher starts. */
export type InstallationSpec = {
	readonly firm: string;
	readonly deployment: string;
	readonly nodes: readonly NodeSpec[];
	readonly targets: readonly TargetSpec[];
	/** First change of the settings tree. */
	readonly operations: readonly TreeOperation[];
	/** True to put a fault proxy on every link. */
	readonly proxies: boolean;
	/** Milliseconds of one-way delay between regions; needs proxies. */
	readonly regionDelayMs: number;
	/** Key of every target. */
	readonly targetKey: string;
};
