import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {Reachability} from '../../../src/core/targets/reachability.ts';

const tickMs = 50;
const confirmMs = 800;

/** A target to which one connection has just failed; `run` returns whether it is confirmed out of reach. */
function failedOnce() {
	const reachability = new Reachability();
	let now = 1000 as Millis;
	const probes: number[] = [];
	const tick = () => {
		if (reachability.needsProbe(0, now)) {
			reachability.recordProbe(now);
			probes.push(now);
		}

		return reachability.isConfirmedOutOfReach(now);
	};

	tick();
	reachability.recordProbe(now);
	reachability.set(false, now);
	return {
		reachability,
		probes,
		run(ms: number) {
			for (const end = now + ms; now < end;) {
				now = now + tickMs as Millis;
				tick();
			}

			return reachability.isConfirmedOutOfReach(now);
		},
		/** Stands still; the tick that follows comes before any result of a probe. */
		standStill(ms: number) {
			now = now + ms as Millis;
			return tick();
		},
		connect(reachable: boolean) {
			reachability.set(reachable, now);
		},
	};
}

test('a target is confirmed out of reach a while after a failed connection', t => {
	const {run} = failedOnce();
	t.false(run(confirmMs - tickMs));
	t.true(run(tickMs));
});

for (const standstillMs of [800, 2000, 5000]) {
	test(`one failed connection and a standstill of ${standstillMs} ms do not confirm that a target is out of reach before the next probe can answer`, t => {
		for (const waitedMs of [50, 400, 750]) {
			const {run, standStill, connect, probes, reachability} = failedOnce();
			run(waitedMs);
			t.false(standStill(standstillMs), `${waitedMs} ms before`);
			t.false(run(confirmMs - tickMs), `${waitedMs} ms before`);
			t.is(probes.length, 1, `${waitedMs} ms before`);
			connect(true);
			t.false(run(confirmMs), `${waitedMs} ms before`);
			t.true(reachability.reachable);
		}
	});

	test(`a target that stays out of reach is confirmed in time after a standstill of ${standstillMs} ms, and stays so over the next`, t => {
		const {run, standStill, connect} = failedOnce();
		run(400);
		standStill(standstillMs);
		connect(false);
		t.true(run(confirmMs));
		t.true(standStill(standstillMs));
	});
}
