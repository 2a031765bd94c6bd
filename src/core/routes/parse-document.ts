import type {RoutesDocument} from './routes-document.ts';

/** Reads an operator's text: the document, or why it cannot be read. Supplied by the dialect spoken with operators. */
export type ParseDocument = (text: string) => {readonly document: RoutesDocument} | {readonly problems: readonly string[]};
