import type {IncomingMessage, ServerResponse} from 'node:http';

/** A route of the HTTP interface: a method (`*` for any), a path (a prefix if it ends in `/`) and its handler. */
export type HttpRoute = {
	readonly method: string;
	readonly path: string;
	readonly handle: (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void> | void;
};
