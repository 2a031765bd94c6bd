import {readFileSync} from 'node:fs';
import test from 'ava';
import {resultCodes} from '../../src/core/results/result-codes.ts';

test('docs/RESULT-CODES.md lists every result with its code, status and title', t => {
	const page = readFileSync('docs/RESULT-CODES.md', 'utf8');
	for (const [name, {code, status, title}] of Object.entries(resultCodes)) {
		t.true(page.includes(`| ${code} | ${name} | ${status === 0 ? 'exit code' : status} | ${title} |`), `${name} is not in the page`);
	}

	const rows = page.split('\n').filter(line => /^\| \d{4} /v.test(line));
	t.is(rows.length, Object.keys(resultCodes).length);
});

test('no two results share a code', t => {
	const codes = Object.values(resultCodes).map(({code}) => code);
	t.is(new Set(codes).size, codes.length);
});
