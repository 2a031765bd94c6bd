import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {SlowdownFilter} from '../../../src/core/cost/slowdown-filter.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';

const at = (ms: number) => ms as Millis;

test('invalid speed figures are ignored: negative, zero, not a number, beyond ten times the last', t => {
	const filter = new SlowdownFilter();
	t.true(filter.add(1, at(0)));
	for (const figure of [-1, 0, Number.NaN, Number.POSITIVE_INFINITY, 10.1]) {
		t.false(filter.add(figure, at(10)), `figure ${figure}`);
	}

	t.is(filter.value(at(10)), 1);
	t.true(filter.add(9, at(20)));
});

test('a wrong low figure does not exclude the correct ones for ever', t => {
	const filter = new SlowdownFilter();
	filter.add(0.01, at(0));
	t.false(filter.add(1, at(100)));
	t.true(filter.add(1, at(5100)));
});

test('a target that was slow when it last answered is not taken for slow for ever', t => {
	const filter = new SlowdownFilter();
	for (let now = 0; now < 20_000; now += 100) {
		filter.add(1, at(now));
	}

	filter.add(4, at(20_000));
	t.true(filter.value(at(20_000)) > 1.6);
	t.true(filter.value(at(23_000)) < 1.1);
});

/** Slowdown that changes several times a second around a level that changes every few seconds. */
test('the filtered figure predicts the next 200 ms better than the last figure and than none', t => {
	const random = new SeededRandom(3);
	const normal = () => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
	const stepMs = 10;
	let fast = 0;
	let slow = 0;
	const logarithms = Array.from({length: 20_000}, () => {
		fast += (-fast * stepMs / 100) + (0.35 * Math.sqrt(2 * stepMs / 100) * normal());
		slow += (-slow * stepMs / 3000) + (0.35 * Math.sqrt(2 * stepMs / 3000) * normal());
		return fast + slow;
	});
	const filter = new SlowdownFilter();
	const errors = {filtered: 0, last: 0, none: 0};
	for (let step = 0; step + 40 < logarithms.length; step += 20) {
		filter.add(Math.exp(logarithms[step]!), at(step * stepMs));
		const next = Math.log(logarithms.slice(step, step + 20).reduce((sum, logarithm) => sum + Math.exp(logarithm), 0) / 20);
		errors.filtered += (Math.log(filter.value(at(step * stepMs))) - next) ** 2;
		errors.last += (logarithms[step]! - next) ** 2;
		errors.none += next ** 2;
	}

	t.true(errors.filtered < 0.8 * errors.last && errors.filtered < 0.8 * errors.none, `squared errors ${JSON.stringify(errors)}`);
});
