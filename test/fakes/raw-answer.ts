import type {ConnectionEnd} from './connection-end.ts';

/** Bytes that a target sends, and what it does to the connection after them. */
export type RawAnswer = {readonly bytes: string; readonly end: ConnectionEnd};
