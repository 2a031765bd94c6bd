import type {Change} from './change.ts';

/** One accepted change: who, when and what. */
export type HistoryEntry = {
	readonly revision: number;
	readonly change: Change;
};
