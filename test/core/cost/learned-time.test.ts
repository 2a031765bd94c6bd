import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {LearnedTime} from '../../../src/core/cost/learned-time.ts';

test('a target without measurements is predicted like the others of its service, and soon by its own', t => {
	const service = new LearnedTime({weight: 0.05});
	service.add(10, 1);
	const target = new LearnedTime({weight: 0.1, prior: slowdown => service.at(slowdown)});
	t.is(Math.round(target.at(1)!), 10);
	for (let sample = 0; sample < 60; sample++) {
		target.add(40, 1);
	}

	t.true(Math.abs(target.at(1)! - 40) < 4);
});

test('predictions follow the slowdown that a target reports, unless the figure is wrong', t => {
	for (const isTrue of [true, false]) {
		const random = new SeededRandom(5);
		const target = new LearnedTime({weight: 0.1});
		for (let sample = 0; sample < 100; sample++) {
			const slowdown = 0.5 + (3 * random.next());
			target.add(isTrue ? 20 * slowdown : 20, slowdown);
		}

		t.is(target.usesSlowdown, isTrue);
		t.true(Math.abs(target.at(2)! - (isTrue ? 40 : 20)) < 2, `the figure is ${isTrue ? 'right' : 'wrong'}`);
	}
});

test('a frozen figure changes no prediction', t => {
	const target = new LearnedTime({weight: 0.1});
	for (let sample = 0; sample < 20; sample++) {
		target.add(30, 4);
	}

	t.is(Math.round(target.at(4)!), 30);
});
