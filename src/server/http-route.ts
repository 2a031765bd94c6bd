import type {IncomingMessage, ServerResponse} from 'node:http';

/** A route of the HTTP interface: method (`*` for any), path or path prefix ending in `/`, and who answers. */
export type HttpRoute = {
	readonly method: string;
	readonly path: string;
	readonly handle: (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void> | void;
};
