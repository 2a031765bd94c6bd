import type {Change} from './change.ts';

/** An accepted change and the revision it resulted in. */
export type HistoryEntry = {
	readonly revision: number;
	readonly change: Change;
};
