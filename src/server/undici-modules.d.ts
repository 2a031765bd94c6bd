// Modules of undici that its index loads among others; it has types for the index only.
declare module 'undici/lib/dispatcher/client.js' {
	export {Client as default} from 'undici';
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
	export {Dispatcher as default} from 'undici';
}

declare module 'undici/lib/api/index.js' {
	import type {Dispatcher} from 'undici';

	const methods: Partial<Dispatcher>;
	export default methods;
}

declare module 'undici/lib/core/connect.js' {
	export {buildConnector as default} from 'undici';
}

declare module 'undici/lib/web/fetch/headers.js' {
	export {Headers} from 'undici';
}
