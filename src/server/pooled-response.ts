import type {Dispatcher} from 'undici';
import type {ConnectionUse} from '../core/common/connection-use.ts';

/** Answer on a connection of a `ConnectionPool`, whose head has arrived. */
export type PooledResponse = {
	readonly res: Dispatcher.ResponseData;
	readonly use: ConnectionUse;
	/** Keeps other requests from the connection. To be called before anything else is awaited, if the answer is unsuccessful and names no request. */
	readonly retire: () => void;
	/** Ends the connection, unless it carries another request by now. To be called if the answer is not accepted: the target may still work on the request, and its answer would come to the next one. */
	readonly destroy: () => void;
};
