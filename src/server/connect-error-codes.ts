import {closedUnusedCode} from './closed-unused-code.ts';

/** Codes of errors raised before anything was sent on a connection: the target has not got the request. */
export const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'UND_ERR_CONNECT_TIMEOUT', closedUnusedCode]);
