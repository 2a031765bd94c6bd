import test from 'ava';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

/** Interval between two operators' calls, and time for which too few nodes run, in milliseconds. */
const callEveryMs = 250;
const degradedMs = 30_000;
/** Time that operators wait for an answer, in milliseconds. */
const callTimeoutMs = 1500;

// Guards against a leader that keeps each call for good while a control node that is needed for accepting it is gone.
test('calls whose operators wait no more are forgotten while too few control nodes vote', t => {
	for (const seed of [1, 2, 3]) {
		let proposed = 0;
		const cluster = new ControlCluster({
			nodes: 5,
			seed,
			tolerated: 2,
			onSend(_from, _to, message) {
				proposed += message.part === 'control' && message.body.type === 'proposed' && message.body.outcome !== undefined ? 1 : 0;
			},
		});
		for (const index of [0, 1, 2]) {
			cluster.start(index, {firstStart: true});
		}

		t.true(cluster.runUntil(() => cluster.voters() === 3), `seed ${seed}`);
		const follower = [0, 1, 2].find(index => index !== cluster.leader())!;
		const calls: string[] = [];
		let version = 0;
		const call = () => {
			version += 1;
			return cluster.call(follower, {type: 'change', command: {type: 'document', document: {version, text: ''}}});
		};

		for (let waited = 0; waited < degradedMs; waited += callEveryMs) {
			calls.push(call());
			cluster.run(callEveryMs);
		}

		cluster.run(callTimeoutMs);
		t.true(calls.every(callId => cluster.answers.get(callId)?.type === 'unavailable'), `seed ${seed}`);
		proposed = 0;
		cluster.start(3);
		cluster.start(4);
		t.true(cluster.runUntil(() => cluster.voters() === 5), `seed ${seed}`);
		cluster.run(1000);
		t.true(proposed <= callTimeoutMs / callEveryMs, `${proposed} late answers, seed ${seed}`);
		const last = call();
		cluster.run(1000);
		t.is(cluster.answers.get(last)?.type, 'accepted', `seed ${seed}`);
	}
});
