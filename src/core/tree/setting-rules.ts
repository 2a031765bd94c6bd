import {z} from 'zod';

const dayMs = 86_400_000;
const hourMs = 3_600_000;
const gibibyte = 1_073_741_824;
const mebibyte = 1_048_576;

const regionName = z.string().regex(/^[a-z\d][\w.-]{0,62}$/i);
const regions = z.array(regionName).min(1).max(64).refine(list => new Set(list).size === list.length, 'a region is named twice');
const modelName = z.string().min(1).max(128);
const wholeNumber = (min: number, max: number) => z.int().min(min).max(max);

/** Schema of each setting that has no subkeys, with the remedy shown when a value does not match it. A name that is neither here nor in `keyedSettingRules` is an unknown setting. */
export const settingRules: Readonly<Record<string, {readonly schema: z.ZodType; readonly remedy: string}>> = {
	residency: {schema: regions, remedy: 'Give a list of one or more different region names, or unset it.'},
	homeRegion: {schema: regionName, remedy: 'Give one region name.'},
	repeatable: {schema: z.boolean(), remedy: 'Give true or false.'},
	deadlineMs: {schema: wholeNumber(1, hourMs), remedy: 'Give whole milliseconds from 1 to 3600000.'},
	silenceMs: {schema: wholeNumber(1, hourMs), remedy: 'Give whole milliseconds from 1 to 3600000.'},
	priority: {schema: wholeNumber(0, 9), remedy: 'Give a whole number from 0 (first) to 9 (last).'},
	model: {schema: modelName, remedy: 'Give a model name of 1 to 128 characters.'},
	awayPenaltyMs: {schema: wholeNumber(0, hourMs), remedy: 'Give whole milliseconds from 0 to 3600000.'},
	awayBytesPerSecond: {schema: wholeNumber(0, 100 * gibibyte), remedy: 'Give whole bytes per second, 0 or more.'},
	targetConcurrency: {schema: wholeNumber(1, 100_000), remedy: 'Give a whole number from 1 to 100000.'},
	queueLimit: {schema: wholeNumber(0, 1_000_000), remedy: 'Give a whole number from 0 to 1000000.'},
	retryBudget: {schema: z.number().min(0).max(1), remedy: 'Give a share from 0 to 1.'},
	maxAttempts: {schema: wholeNumber(1, 10), remedy: 'Give a whole number from 1 to 10.'},
	maxBodyBytes: {schema: wholeNumber(1, gibibyte), remedy: 'Give whole bytes from 1 to 1073741824.'},
	expectedOutputTokens: {schema: wholeNumber(1, 1_000_000), remedy: 'Give a whole number from 1 to 1000000.'},
	answerKeepMs: {schema: wholeNumber(0, 30 * dayMs), remedy: 'Give whole milliseconds from 0 to 2592000000.'},
	answerKeepBytes: {schema: wholeNumber(0, 16 * mebibyte), remedy: 'Give whole bytes from 0 to 16777216.'},
	keepers: {schema: wholeNumber(1, 5), remedy: 'Give a whole number from 1 to 5.'},
	fencing: {schema: z.enum(['honoured', 'ignored']), remedy: 'Give "honoured" or "ignored".'},
	ordersChecked: {schema: z.boolean(), remedy: 'Give true or false.'},
	weightStoreBytesPerSecond: {schema: wholeNumber(1, 100_000 * gibibyte), remedy: 'Give whole bytes per second, 1 or more.'},
};
