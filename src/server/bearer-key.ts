import type {IncomingMessage} from 'node:http';

const scheme = 'Bearer ';

/** The key in an `Authorization: Bearer` header, or an empty string. */
export function bearerKey(req: IncomingMessage): string {
	const value = req.headers.authorization ?? '';
	return value.startsWith(scheme) ? value.slice(scheme.length).trim() : '';
}
