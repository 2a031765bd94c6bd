/**
 * One operation of a change. `path` names a tree node: `firm`, `firm/deployment`, `firm/deployment/service`
 * or `firm/deployment/service/route`. A `key` may have one subkey after a slash for keyed settings,
 * such as `callerKeys/<sha-256>`.
 */
export type TreeOperation =
	| {readonly op: 'create'; readonly path: string}
	| {readonly op: 'delete'; readonly path: string; readonly recursive?: boolean}
	| {readonly op: 'set'; readonly path: string; readonly key: string; readonly value: unknown}
	| {readonly op: 'unset'; readonly path: string; readonly key: string};
