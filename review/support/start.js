import process from 'node:process';

/** Exit code of a case that could not run. */
const couldNotRun = 2;

// Usage: start.js <case> <record file>. A case that can't be loaded must not end with the code of a broken rule.
const [name = '', recordFile = ''] = process.argv.slice(2);
try {
	const {reviewCase} = await import(`../${name}/run.js`);
	const {runCase} = await import('./run-case.js');
	await runCase(recordFile, reviewCase);
} catch (error) {
	process.stderr.write(`${error.stack}\n`);
	process.exitCode = couldNotRun;
}
