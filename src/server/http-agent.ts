import type {Agent} from 'undici';
import AgentClass from 'undici/lib/dispatcher/agent.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import methods from 'undici/lib/api/index.js';

// The index of undici does the same, but also loads fetch, WebSocket, caches and mocks, which lengthen the start of an entry.
Object.assign(Dispatcher.prototype, methods);

/** Creates a pool of HTTP connections. */
export function createHttpAgent(options: Agent.Options): Agent {
	return new AgentClass(options);
}
