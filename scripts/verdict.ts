import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

/**
 * Reads the test run's output, prints its count in one line, and fails unless every failed test is listed in KNOWN-RED.txt.
 * Usage: `verdict.ts <output file> <exit code of the run>`.
 */
const [file = '', exitCode = '1'] = process.argv.slice(2);
const output = readFileSync(file, 'utf8').replaceAll(/\u001B\[[\d;]*m/gv, ''); // eslint-disable-line no-control-regex
const known = existsSync('KNOWN-RED.txt')
	? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim())
	: [];
const failed = [...new Set([...output.matchAll(/^\s*✘ \[fail\]: (?<title>.+)$/gmv)].map(match => match.groups!.title!.trim()))];
const unexpected = failed.filter(title => !known.some(name => title.startsWith(name)));
const passed = number(/^\s*(?<count>\d+) tests? passed/mv);
const failures = number(/^\s*(?<count>\d+) tests? failed/mv);
const skipped = number(/^\s*(?<count>\d+) tests? skipped/mv);

for (const title of failed.filter(name => !unexpected.includes(name))) {
	process.stdout.write(`known red: ${title}\n`);
}

for (const title of unexpected) {
	process.stdout.write(`failed: ${title}\n`);
}

const explained = failures > 0 && failures === failed.length && !/uncaught exception|unhandled rejection|timed out|exited/iv.test(output);
process.stdout.write(`${passed} passed, ${failures} failed${skipped > 0 ? `, ${skipped} skipped` : ''}\n`);
process.exitCode = exitCode === '0' || (explained && unexpected.length === 0) ? 0 : 1;

function number(pattern: RegExp): number {
	return Number(pattern.exec(output)?.groups?.count ?? 0);
}
