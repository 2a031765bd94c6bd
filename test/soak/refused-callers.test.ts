import test from 'ava';
import {SeededRandom} from '../../src/core/common/seeded-random.ts';
import {RefusedCallers} from './refused-callers.ts';

const refusal = {status: 503, retryAfter: '0.5', sendings: 1};

test('callers of a soak send a request again only after a promise that it has not run, and not without end', t => {
	const callers = new RefusedCallers(new SeededRandom(1));
	const count = (changes: Partial<Parameters<RefusedCallers['next']>[0]>) => Array.from({length: 100}, () => callers.next({...refusal, ...changes})).filter(next => next !== undefined).length;
	for (const status of [408, 421, 429, 503]) {
		t.true(count({status}) > 50);
	}

	for (const status of [undefined, 200, 400, 404, 413, 431, 502, 504]) {
		t.is(count({status}), 0);
	}

	t.is(count({sendings: 4}), 0);
});

test('callers of a soak send refused requests at once and after a pause, to the same entry and to others', t => {
	const callers = new RefusedCallers(new SeededRandom(1));
	const drawn = Array.from({length: 200}, () => callers.next(refusal)).filter(next => next !== undefined);
	for (const delayMs of [0, 500]) {
		for (const sameEntry of [true, false]) {
			t.true(drawn.some(next => next.delayMs === delayMs && next.sameEntry === sameEntry));
		}
	}
});
