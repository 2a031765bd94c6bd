import {KnownRedList} from './known-red-list.ts';
import {TapRun} from './tap-run.ts';

type Verdict = {
	/** What is printed; the last line has the counts. */
	readonly lines: readonly string[];
	readonly passed: boolean;
};

/** Passes a run of all tests if each failed test is on the list, each listed test exists, and the output accounts for every test. */
export function judgeRun({output, exitCode, list, listFile}: {output: string; exitCode: number; list: string; listFile: string}): Verdict {
	const run = new TapRun(output);
	const known = new KnownRedList(list, listFile);
	const failed = run.results.filter(({outcome}) => outcome === 'failed').map(({title}) => title);
	const unexpected = failed.filter(title => !known.tests.has(title));
	const knownFailed = failed.filter(title => known.tests.has(title));
	const knownPassed = run.results.filter(({title, outcome}) => outcome === 'passed' && known.tests.has(title)).map(({title}) => title);
	const titles = new Set(run.results.map(({title}) => title));
	// A run that broke off doesn't show which tests there are.
	const unknown = run.problems.length > 0 ? [] : [...known.tests].filter(([title]) => !titles.has(title));
	const problems = [
		...run.problems,
		...known.problems,
		...unknown.map(([title, line]) => `${listFile}:${line}: no test is called "${title}".`),
		...((exitCode === 0) === (failed.length === 0) ? [] : [`The tests exited with code ${exitCode}, but ${failed.length} failures are named.`]),
	];
	const skipped = run.count('skipped') + run.count('to do');
	return {
		lines: [
			...knownPassed.map(title => `listed in ${listFile}, but passed: ${title}`),
			...knownFailed.map(title => `known red: ${title}`),
			...unexpected.map(title => `failed: ${title}`),
			...problems,
			`known red: ${knownFailed.length} of ${known.tests.size} listed tests failed, ${knownPassed.length} passed`,
			`${run.count('passed')} passed, ${failed.length} failed${skipped > 0 ? `, ${skipped} skipped` : ''}`,
		],
		passed: problems.length === 0 && unexpected.length === 0,
	};
}
