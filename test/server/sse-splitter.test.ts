import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {SseSplitter} from '../../src/server/sse-splitter.ts';

/** Splits a text given in the chunks that end at `cuts`. */
function split(text: string, cuts: readonly number[]) {
	const splitter = new SseSplitter();
	const bytes = Buffer.from(text);
	const ends = [...new Set([...cuts.filter(cut => cut < bytes.length), bytes.length])].sort((left, right) => left - right);
	let passed = '';
	let count = 0;
	let start = 0;
	for (const end of ends) {
		const events = splitter.push(bytes.subarray(start, end));
		passed += events?.bytes.toString() ?? '';
		count += events?.count ?? 0;
		start = end;
	}

	return {
		passed, count, rest: splitter.rest.toString(), incompleteBytes: splitter.incompleteBytes,
	};
}

test('a stream cut at any byte yields whole events only, however its bytes arrive and whatever ends its lines', t => {
	const lineBreaks = fc.constantFrom('\n', '\r\n', '\r');
	t.notThrows(() => {
		fc.assert(fc.property(lineBreaks, fc.integer({min: 1, max: 4}), fc.nat(120), fc.array(fc.nat(120)), (lineBreak, events, cutAt, cuts) => {
			const whole = Array.from({length: events}, (_, index) => `id: ${index + 1}${lineBreak}data: piece${lineBreak}${lineBreak}`);
			const text = whole.join('').slice(0, cutAt);
			const {passed, count, rest, incompleteBytes} = split(text, cuts);
			// The last line break may be a carriage return whose line feed was cut off.
			const ended = whole.filter((_, index) => whole.slice(0, index + 1).join('').replace(/\n$/v, lineBreak === '\r\n' ? '' : '\n').length <= text.length);
			if (passed + rest !== text || count !== ended.length || (incompleteBytes === 0) !== (rest === '')) {
				throw new Error(JSON.stringify({
					text, passed, count, rest, incompleteBytes,
				}));
			}
		}), {seed: 20, numRuns: 500});
	});
});

test('comments and blank lines after the last event are not an incomplete event', t => {
	const {count, incompleteBytes, rest} = split('data: a\n\n\n: idle\n', []);
	t.is(count, 1);
	t.is(incompleteBytes, 0);
	t.is(rest, ': idle\n');
});
