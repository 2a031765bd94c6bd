import type {RouteSettings} from './route-settings.ts';

/** Default values of the settings that no node on a route's path sets. Times are in milliseconds, sizes in bytes. */
export const routeDefaults: RouteSettings = {
	repeatable: true,
	deadlineMs: 30_000,
	silenceMs: 20_000,
	priority: 5,
	awayPenaltyMs: 200,
	awayBytesPerSecond: 2_000_000,
	targetConcurrency: 64,
	queueLimit: 256,
	retryBudget: 0.1,
	maxAttempts: 3,
	maxBodyBytes: 4_194_304,
	expectedOutputTokens: 256,
	answerKeepMs: 86_400_000,
	answerKeepBytes: 65_536,
	keepers: 2,
	callerKeys: {},
	targetKeys: {},
	fencing: 'ignored',
	ordersChecked: false,
	models: {},
	weightStoreBytesPerSecond: 1_000_000_000,
};
