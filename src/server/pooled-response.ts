import type {Dispatcher} from 'undici';
import type {ConnectionUse} from '../core/common/connection-use.ts';

/** Answer on a connection of a `ConnectionPool`, whose head has arrived. */
export type PooledResponse = {
	readonly res: Dispatcher.ResponseData;
	readonly use: ConnectionUse;
	/** To be called once the answer was read to its end, if it is a complete, successful one. */
	readonly complete: () => void;
	/** To be called if the answer names no request and is no successful one, before anything else is awaited: written once more, it could be taken for the answer to any request. The connection carries no other one. */
	readonly retire: () => void;
	/** To be called if the answer is not that to the request: the target may still work on the request, and its answer would come to the next one. Ends the connection, unless it carries another request by now. */
	readonly destroy: () => void;
};
