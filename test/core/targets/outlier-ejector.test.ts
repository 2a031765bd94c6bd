import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {OutlierEjector} from '../../../src/core/targets/outlier-ejector.ts';

function failAll(ejector: OutlierEjector, targets: number, now: number): number {
	for (let round = 0; round < 4; round++) {
		for (let index = 0; index < targets; index++) {
			ejector.recordFailure(toId<TargetId>(`t${index}`), targets, now as Millis);
		}
	}

	return countEjected(ejector, targets, now);
}

function countEjected(ejector: OutlierEjector, targets: number, now: number): number {
	let ejected = 0;
	for (let index = 0; index < targets; index++) {
		ejected += ejector.isEjected(toId<TargetId>(`t${index}`), now as Millis) ? 1 : 0;
	}

	return ejected;
}

test('ejects at most a third of the targets even if all fail, and never the last one', t => {
	t.is(failAll(new OutlierEjector(), 9, 1000), 3);
	t.is(failAll(new OutlierEjector(), 2, 1000), 1);
	t.is(failAll(new OutlierEjector(), 1, 1000), 0);
});

test('an ejection ends, and the next one lasts twice as long', t => {
	const ejector = new OutlierEjector();
	const bad = toId<TargetId>('t0');
	const failFrom = (at: number) => {
		for (let index = 0; index < 4; index++) {
			ejector.recordFailure(bad, 3, at as Millis);
		}
	};

	failFrom(0);
	t.true(ejector.isEjected(bad, 4999 as Millis));
	t.false(ejector.isEjected(bad, 5000 as Millis));
	failFrom(5000);
	t.true(ejector.isEjected(bad, 14_000 as Millis));
	t.false(ejector.isEjected(bad, 15_000 as Millis));
});

test('a complete answer between failures prevents ejection', t => {
	const ejector = new OutlierEjector();
	const target = toId<TargetId>('t0');
	for (let index = 0; index < 20; index++) {
		ejector.recordFailure(target, 3, 0 as Millis);
		if (index % 3 === 2) {
			ejector.recordSuccess(target);
		}
	}

	t.false(ejector.isEjected(target, 1 as Millis));
});
