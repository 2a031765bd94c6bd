/** One reason why a change is not valid, with what an operator can do about it. */
export type TreeProblem = {
	readonly path: string;
	readonly key?: string;
	readonly problem: string;
	readonly remedy: string;
};
