import {KnownRedList} from './known-red-list.ts';
import {TapRun} from './tap-run.ts';
import type {TestResult} from './test-result.ts';

type Verdict = {
	/** What is printed; the last line has the counts. */
	readonly lines: readonly string[];
	readonly passed: boolean;
};

/** Passes a run of all tests, which may consist of several runs of AVA, if each failed test is on the list, each listed test exists, and the output accounts for every test. */
export function judgeRun({output, exitCode, list, listFile}: {output: string; exitCode: number; list: string; listFile: string}): Verdict {
	const runs = documentsOf(output).map(document => new TapRun(document));
	const results = runs.flatMap(run => run.results);
	const runProblems = runs.flatMap(run => run.problems);
	const count = (outcome: TestResult['outcome']) => results.filter(result => result.outcome === outcome).length;
	const known = new KnownRedList(list, listFile);
	const failed = results.filter(({outcome}) => outcome === 'failed').map(({title}) => title);
	const unexpected = failed.filter(title => !known.tests.has(title));
	const knownFailed = failed.filter(title => known.tests.has(title));
	const knownPassed = results.filter(({title, outcome}) => outcome === 'passed' && known.tests.has(title)).map(({title}) => title);
	const titles = new Set(results.map(({title}) => title));
	// A run that broke off doesn't show which tests there are.
	const unknown = runProblems.length > 0 ? [] : [...known.tests].filter(([title]) => !titles.has(title));
	const problems = [
		...runProblems,
		...known.problems,
		...unknown.map(([title, line]) => `${listFile}:${line}: no test is called "${title}".`),
		...((exitCode === 0) === (failed.length === 0) ? [] : [`The tests exited with code ${exitCode}, but ${failed.length} failures are named.`]),
	];
	const skipped = count('skipped') + count('to do');
	return {
		lines: [
			...knownPassed.map(title => `listed in ${listFile}, but passed: ${title}`),
			...knownFailed.map(title => `known red: ${title}`),
			...unexpected.map(title => `failed: ${title}`),
			...problems,
			`known red: ${knownFailed.length} of ${known.tests.size} listed tests failed, ${knownPassed.length} passed`,
			`${count('passed')} passed, ${failed.length} failed${skipped > 0 ? `, ${skipped} skipped` : ''}`,
		],
		passed: problems.length === 0 && unexpected.length === 0,
	};
}

/** The TAP document of each run of AVA, with what was printed before the first. */
function documentsOf(output: string): readonly string[] {
	const [preamble = '', ...documents] = output.split(/^(?=TAP version 13\r?$)/mv);
	return documents.length === 0 ? [preamble] : documents;
}
