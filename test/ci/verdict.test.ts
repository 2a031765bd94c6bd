import {spawnSync} from 'node:child_process';
import {
	mkdtempSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {judgeRun} from '../../scripts/verdict/judge-run.ts';

type RunOptions = {
	readonly passed?: readonly string[];
	readonly failed?: readonly string[];
	readonly skipped?: readonly string[];
	/** Lines of failures outside a test. */
	readonly errors?: readonly string[];
};

const repository = path.resolve(import.meta.dirname, '../..');
const listFile = 'KNOWN-RED.txt';
const outsideTests = '1 of the failures are errors outside a test: an uncaught exception, an unhandled rejection, a file without tests or an exit.';
const fields = 'command: npx ava x\nseed: none\nseen: once\nissue: 42\n';

function tap({passed = [], failed = [], skipped = [], errors = []}: RunOptions): string {
	const lines = [
		...passed.map(title => ['ok', title]),
		...skipped.map(title => ['ok', `${title} # SKIP`]),
		...[...failed, ...errors].map(title => ['not ok', title]),
	];
	return [
		'\n> lovageferry@0.1.0 test\n> ava --tap\n\nTAP version 13',
		...lines.map(([word, title], index) => `${word} ${index + 1} - ${title}${word === 'ok' ? '' : '\n#   noted: 7 passed\n  ---\n    message: |-\n      not ok 9 - quoted\n  ...'}`),
		`\n1..${passed.length + failed.length + skipped.length}`,
		`# tests ${passed.length + failed.length + skipped.length}`,
		`# pass ${passed.length}`,
		...(skipped.length > 0 ? [`# skip ${skipped.length}`] : []),
		`# fail ${failed.length + errors.length}\n\n`,
	].join('\n');
}

function judge({list = '', exitCode, output, ...run}: RunOptions & {list?: string; exitCode?: number; output?: string}) {
	const anyFailed = (run.failed ?? []).length + (run.errors ?? []).length > 0;
	return judgeRun({
		output: output ?? tap(run), exitCode: exitCode ?? (anyFailed ? 1 : 0), list, listFile,
	});
}

function listOf(...titles: string[]): string {
	return `Heading.\n\n${titles.map(title => `test: ${title}\n`).join('')}${fields}`;
}

test('the closing line has the numbers of passed, failed and skipped tests, also where tests failed', t => {
	t.deepEqual(judge({passed: ['a', 'b'], skipped: ['c']}), {lines: ['known red: 0 of 0 listed tests failed, 0 passed', '2 passed, 0 failed, 1 skipped'], passed: true});
	const {lines, passed} = judge({passed: ['a', 'b'], failed: ['c › d', 'e'], list: listOf('c › d')});
	t.deepEqual(lines, ['known red: c › d', 'failed: e', 'known red: 1 of 1 listed tests failed, 0 passed', '2 passed, 2 failed']);
	t.false(passed);
});

test('the runs of AVA are judged together: each has to be whole, and a listed test may be in any', t => {
	const first = tap({passed: ['a'], failed: ['b']});
	const second = tap({passed: ['c', 'd']});
	t.deepEqual(judge({output: first + second, exitCode: 1, list: listOf('b')}), {lines: ['known red: b', 'known red: 1 of 1 listed tests failed, 0 passed', '3 passed, 1 failed'], passed: true});
	t.false(judge({output: first + second, exitCode: 1}).passed);
	t.false(judge({output: tap({passed: ['a']}) + second.slice(0, -20), exitCode: 0}).passed);
	t.false(judge({output: tap({passed: ['a']}).slice(0, -20) + second, exitCode: 0}).passed);
});

test('a run passes only over the tests that the list names in full', t => {
	t.true(judge({passed: ['a'], failed: ['b: "c"'], list: listOf('b: "c"')}).passed);
	t.false(judge({passed: ['b'], failed: ['b: "c"'], list: listOf('b')}).passed);
});

test('a listed test that passed is named', t => {
	const {lines, passed} = judge({passed: ['a', 'b'], list: listOf('a')});
	t.true(passed);
	t.is(lines[0], 'listed in KNOWN-RED.txt, but passed: a');
});

test('titles with a colon, a quote, a hash or the word "ok" are counted and named as they are', t => {
	const titles = ['proofs › fair: a "burst", seed 1', 'a # b', 'it\'s not ok 3 - here', 'SKIP'];
	const {lines, passed} = judge({failed: titles, passed: ['x'], list: listOf(...titles)});
	t.true(passed);
	t.deepEqual(lines.slice(0, titles.length), titles.map(title => `known red: ${title}`));
	t.is(lines.at(-1), '1 passed, 4 failed');
});

for (const [fault, options, sentence] of [
	['an entry that names no test', {passed: ['a'], list: listOf('gone')}, 'KNOWN-RED.txt:3: no test is called "gone".'],
	['an entry without a field', {passed: ['a'], list: `test: a\n${fields.replace('seed: none\n', '')}`}, 'KNOWN-RED.txt:1: the entry has 0 lines "seed:" instead of one.'],
	['two entries without an empty line', {passed: ['a', 'b'], list: `${listOf('a')}test: b\n${fields}`}, 'KNOWN-RED.txt:8: "test:" stands after the fields of its entry; an empty line is missing.'],
	['a line of no known kind', {passed: ['a'], list: `${listOf('a')}tests: b\n`}, 'KNOWN-RED.txt:8: "tests: b" is no line of an entry.'],
	['an entry without a subject', {passed: ['a'], list: `Heading.\n\n${fields}`}, 'KNOWN-RED.txt:3: an entry begins with what failed, as in "test: title".'],
	['a test that is listed twice', {passed: ['a'], list: listOf('a', 'a')}, 'KNOWN-RED.txt:4: the test is listed twice: a.'],
	['an issue without a number', {passed: ['a'], list: listOf('a').replace('42', 'soon')}, 'KNOWN-RED.txt:7: "soon" is no number of an issue.'],
	['a run that executed no test', {}, 'The run executed no test.'],
	['output without TAP', {output: ''}, 'The output of the tests was cut short: it has no closing count after 0 results.'],
	['output that is cut short', {
		output: tap({passed: ['a: b', 'c']}).split('\n1..')[0]!,
	}, 'The output of the tests was cut short: it has no closing count after 2 results, the last one "c".'],
	['output that is cut short inside its count', {
		output: tap({passed: ['a']}).split('# fail')[0]!,
	}, 'The output of the tests was cut short: it has no closing count after 1 results, the last one "a".'],
	['output that lacks a result', {output: tap({passed: ['a', 'b']}).replace('ok 1 - a\n', '')}, 'The output of the tests has result 2 in place of result 1.'],
	['a failure that is named but not counted', {
		output: tap({passed: ['a', 'b']}).replace('ok 2', 'not ok 2'),
	}, 'The output of the tests counts 2 passed, 0 failed and 0 skipped tests, but names 1 passed, 1 failed and 0 skipped.'],
	['an exit code without a failure', {passed: ['a'], exitCode: 7}, 'The tests exited with code 7, but 0 failures are named.'],
	['a failure without an exit code', {failed: ['a'], exitCode: 0, list: listOf('a')}, 'The tests exited with code 0, but 1 failures are named.'],
	['an error outside a test', {passed: ['a'], errors: ['Error: uncaught']}, outsideTests],
	['an error outside a test that the list names', {passed: ['a'], errors: ['Error: uncaught'], list: listOf('Error: uncaught')}, outsideTests],
] as const) {
	test(`the verdict fails with one sentence: ${fault}`, t => {
		const {lines, passed} = judge(options);
		t.false(passed);
		t.is(lines.filter(line => line === sentence).length, 1, lines.join('\n'));
	});
}

/** Runs AVA in a folder with two test files, as .ci/run does with ours. */
function runAva(t: ExecutionContext, source: string): {folder: string; output: string; exitCode: number} {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-verdict-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true, force: true});
	});
	writeFileSync(path.join(folder, 'package.json'), '{"type": "module"}');
	writeFileSync(path.join(folder, 'first.test.js'), `import process from 'node:process';\nimport test from 'ava';\n${source}`);
	writeFileSync(path.join(folder, 'second.test.js'), 'import test from \'ava\';\ntest(\'passes: "b" # c\', t => t.pass());');
	symlinkSync(path.join(repository, 'node_modules'), path.join(folder, 'node_modules'));
	const ava = spawnSync(process.execPath, [path.join(repository, 'node_modules/ava/entrypoints/cli.mjs'), '--tap'], {cwd: folder, encoding: 'utf8'});
	return {folder, output: ava.stdout, exitCode: ava.status ?? 1};
}

for (const [run, source, passes, pattern] of [
	['that passes', 'test(\'a: "b"\', t => {console.log("not ok 1 - printed"); t.log("ok 7 - noted"); t.pass();}); test.skip(\'c\', t => t.pass());', true, /^2 passed, 0 failed, 1 skipped$/mv],
	['with an uncaught exception', 'test(\'a\', async t => {setTimeout(() => {throw new Error("late");}); await new Promise(() => {});});', false, /^\d of the failures are errors outside a test/mv],
	['whose test ends its process', 'test(\'a\', () => {process.exit(0);});', false, /^The output of the tests was cut short/mv],
] as const) {
	test(`the verdict reads what AVA writes: a run ${run}`, t => {
		const {output, exitCode} = runAva(t, source);
		const {lines, passed} = judge({output, exitCode});
		t.is(passed, passes, output);
		t.regex(lines.join('\n'), pattern);
	});
}

test('the script fails on a failed test of a run and prints the counts last', t => {
	const {folder, output, exitCode} = runAva(t, 'test(\'a: "b"\', t => t.is(1, 2));');
	writeFileSync(path.join(folder, 'output'), output);
	const script = path.join(repository, 'scripts/verdict.ts');
	const verdict = spawnSync(process.execPath, ['--import', 'tsx', script, 'output', String(exitCode)], {cwd: folder, encoding: 'utf8'});
	t.is(verdict.status, 1, verdict.stderr);
	t.deepEqual(verdict.stdout.split('\n').slice(-4), ['failed: first › a: "b"', 'known red: 0 of 0 listed tests failed, 0 passed', '1 passed, 1 failed', '']);
});
