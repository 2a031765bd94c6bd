type ListenErrorOptions = {
	/** Key of the settings file that holds the address. */
	readonly key: string;
	readonly host: string;
	readonly port: number;
	readonly cause: Error;
};

const remedies: Readonly<Record<string, string>> = {
	EADDRINUSE: 'another process has this port; end it or choose another port',
	EADDRNOTAVAIL: 'this machine does not have this IP number; correct it',
	EACCES: 'the process may not use this port; choose one above 1023',
};

/** The process cannot listen on an address of its settings. */
export class ListenError extends Error {
	constructor({key, host, port, cause}: ListenErrorOptions) {
		const code = (cause as NodeJS.ErrnoException).code ?? cause.message;
		super(`${key}: cannot listen on ${host}:${port} (${code}): ${remedies[code] ?? 'correct the address'}`, {cause});
		this.name = 'ListenError';
	}
}
