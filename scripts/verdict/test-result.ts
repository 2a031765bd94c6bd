/** One numbered line of TAP output. */
export type TestResult = {
	readonly title: string;
	readonly outcome: 'passed' | 'failed' | 'skipped' | 'to do';
};
