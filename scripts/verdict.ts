import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {judgeRun} from './verdict/judge-run.ts';

const listFile = 'KNOWN-RED.txt';

/** Reads the TAP output of a run of all tests, prints what failed and the counts, and fails unless the run passed or each failed test is listed. Usage: `verdict.ts <output file> <exit code of the run>`. */
const [file = '', exitCode = '1'] = process.argv.slice(2);
const {lines, passed} = judgeRun({
	output: existsSync(file) ? readFileSync(file, 'utf8') : '',
	exitCode: Number(exitCode),
	list: existsSync(listFile) ? readFileSync(listFile, 'utf8') : '',
	listFile,
});
process.stdout.write(`${lines.join('\n')}\n`);
process.exitCode = passed ? 0 : 1;
