import test from 'ava';
import {PredictionError} from '../../../src/core/admission/prediction-error.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';

const at = (ms: number) => ms as Millis;

test('few samples, or none, change a prediction', t => {
	const error = new PredictionError();
	t.is(error.factor(0.7, at(0)), 1);
	for (let sample = 0; sample < 5; sample++) {
		error.record({predictedMs: 100, measuredMs: 900}, at(sample));
	}

	t.is(error.factor(0.7, at(10)), 1);
});

test('a prediction that is three times too short stays so: the factor does not follow the error', t => {
	const error = new PredictionError();
	for (let sample = 0; sample < 40; sample++) {
		error.record({predictedMs: 980, measuredMs: 2980 + sample}, at(sample));
	}

	t.true(Math.abs(error.factor(0.7, at(50)) - 3) < 0.1);
});

test('the confidence asked for does not choose the quantile of the error', t => {
	const error = new PredictionError();
	for (let sample = 1; sample <= 30; sample++) {
		error.record({predictedMs: 80, measuredMs: (sample * 10) - 20}, at(sample));
	}

	t.true(Math.abs(error.factor(0.1, at(50)) - 0.4) < 0.11);
	t.true(Math.abs(error.factor(0.7, at(50)) - 2.1) < 0.21);
});

test('the error of a burst outlasts it by more than two seconds, also if the clock jumps back', t => {
	for (const later of [2001, -2100]) {
		const error = new PredictionError();
		for (let sample = 0; sample < 32; sample++) {
			error.record({predictedMs: 10, measuredMs: 2000}, at(sample));
		}

		t.true(error.factor(0.7, at(100)) > 10);
		t.is(error.factor(0.7, at(32 + later)), 1);
	}
});

test('the newest errors do not replace those of calmer times', t => {
	const error = new PredictionError();
	for (let sample = 0; sample < 100; sample++) {
		error.record({predictedMs: 100, measuredMs: sample < 60 ? 100 : 460}, at(sample));
	}

	t.is(error.factor(0.1, at(100)), 4);
});
