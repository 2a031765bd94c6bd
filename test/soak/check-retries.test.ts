import test from 'ava';
import {checkRetries} from './check-retries.ts';

/** Requests of one service, 10 a second for 20 s, each with an arrival; the first `retried` ones of the second half arrive once more. */
function play(retried: number) {
	const requests = Array.from({length: 200}, (_, index) => ({service: 'desk' as const, at: index * 100}));
	const arrivals = requests.flatMap(({service, at}, index) => {
		const arrival = {service, at: at + 5, key: `r-${index}`};
		return index >= 100 && index < 100 + retried ? [arrival, {...arrival, at: at + 50}] : [arrival];
	});
	return checkRetries(requests, arrivals);
}

test('a soak reports it if a service gets more retries than its budget over all entries', t => {
	t.deepEqual(play(30), []);
	t.is(play(31).length, 1);
});
