/** What became of one request of a run. */
export type PolicyRecord = {
	readonly kind: 'completion' | 'call';
	readonly organisation: string;
	readonly priority: number;
	readonly tokens: number;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	firstAt?: number;
	wholeAt?: number;
	refusal?: string;
	away: boolean;
};
