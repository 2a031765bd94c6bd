import process from 'node:process';
import {Journal} from '../../../src/server/journal/journal.ts';

/** Runs as a child process of a test: appends numbered records and prints each number once it is synced, or the result name if it is rejected; with the argument `rewrite`, and optionally the length of the record, it rewrites the journal at the end. */
const {journal, load} = await Journal.open(process.argv[2]!);
const limit = Number(process.argv[3]);
let filler = 'x'.repeat(700);
const writes: Array<Promise<void>> = [];

const append = async (number: number): Promise<void> => {
	try {
		await journal.append([{number, filler}]);
		process.stdout.write(`${number}\n`);
	} catch (error) {
		// The following records are smaller and would still fit, so they show that the journal rejects them anyway.
		filler = '';
		process.stdout.write(`${(error as {result?: string}).result}\n`);
	}
};

for (let number = load.records.length; number < limit; number++) {
	writes.push(append(number));
	if (number % 3 === 0) {
		await Promise.all(writes); // eslint-disable-line no-await-in-loop
	}
}

await Promise.all(writes);
if (process.argv[4] === 'rewrite') {
	const text = process.argv[5] === undefined ? undefined : 'x'.repeat(Number(process.argv[5]));
	try {
		await journal.rewrite([{rewritten: true, text}]);
		await journal.append([{appended: true}]);
		process.stdout.write('rewritten\n');
	} catch (error) {
		process.stdout.write(`${(error as {result?: string}).result}\n`);
	}
}
