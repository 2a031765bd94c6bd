import {readFileSync} from 'node:fs';
import test from 'ava';
import {exitCodes} from '../../src/commands/exit-codes.ts';

const page = readFileSync('docs/OPERATIONS.md', 'utf8');

function rowsUnder(title: string): string[] {
	const section = page.split(`\n## ${title}\n`)[1]!.split('\n## ')[0]!;
	return section.split('\n').filter(line => line.startsWith('| ')).slice(2);
}

test('docs/OPERATIONS.md lists every exit code', t => {
	const listed = rowsUnder('Exit codes').map(row => Number(row.split('|')[1]));
	t.deepEqual(listed, Object.values(exitCodes));
});

test('docs/OPERATIONS.md lists every counter of the core', t => {
	const source = readFileSync('src/core/results/counter-name.ts', 'utf8');
	const names = [...source.matchAll(/\| '(?<name>\w+)'/gv)].map(match => match.groups!.name!);
	const listed = rowsUnder('Metrics').flatMap(row => [...row.split('|')[1]!.matchAll(/`(?<name>\w+)`/gv)].map(match => match.groups!.name!));
	t.deepEqual(listed.toSorted(), names.toSorted());
});
