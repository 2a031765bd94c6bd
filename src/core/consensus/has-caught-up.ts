/** True if a learner that has synced the log up to `matchIndex` lags little enough behind it to vote; 0 stands for one that has answered nothing yet. */
export function hasCaughtUp(matchIndex: number, lastIndex: number, learnerLag: number): boolean {
	return matchIndex > 0 && lastIndex - matchIndex <= learnerLag;
}
