import type {RoutesDocument} from './routes-document.ts';

/** Parses an operator's text into a routes document, or returns the problems in it. Supplied by the `ControlCodec` of a platform. */
export type ParseDocument = (text: string) => {readonly document: RoutesDocument} | {readonly problems: readonly string[]};
