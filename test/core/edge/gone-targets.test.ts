import test from 'ava';
import {ServiceVersions} from '../../../src/core/edge/service-versions.ts';
import {TargetPool} from '../../../src/core/edge/target-pool.ts';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {ListedTarget} from '../../../src/core/registry/listed-target.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';

const service = toId<ServiceName>('desk');
const feedEveryMs = 500;
/** Time after which nothing may depend on a target that has gone: twice as long as control nodes remember it. */
const forgottenMs = 120_000;
const names = ['e1', 'e2', 'e3', 'e4'];
/** Replacements in a row: each target is replaced, under another name and with other software, as often. */
const replacements = 3;

function nameOf(name: string, replaced: number): string {
	return `${name}-${replaced}`;
}

function versionOf(replaced: number): SoftwareVersion {
	return toId(`v${replaced}`);
}

function listing(name: string, replaced: number, state: ListedTarget['state']): ListedTarget {
	return listedTargetFixture(nameOf(name, replaced), {state, softwareVersion: versionOf(replaced)});
}

/** An entry that follows one control node all the time, whose targets are replaced in series. */
function playReplacements(goneState: ListedTarget['state']) {
	const pool = new TargetPool(toId<NodeId>('entry-1'));
	const versions = new ServiceVersions();
	let now = 0 as Millis;
	const feed = (listed: readonly ListedTarget[], whole = false) => {
		pool.update(listed, whole, now);
		versions.update(pool.listings(), now);
	};

	const run = (ms: number) => {
		for (const end = now + ms; now < end;) {
			now = now + feedEveryMs as Millis;
			feed([]);
		}
	};

	feed(names.map(name => listing(name, 0, 'serving')), true);
	for (let replaced = 1; replaced <= replacements; replaced++) {
		for (const name of names) {
			feed([listing(name, replaced, 'serving')]);
			run(2000);
			feed([listing(name, replaced - 1, goneState)]);
			run(2000);
		}
	}

	return {
		pool, versions, feed, run, now: () => now,
	};
}

for (const goneState of ['lost', 'leaving'] as const) {
	test(`targets that were replaced are forgotten, ${goneState}`, t => {
		const {pool, versions, run, now} = playReplacements(goneState);
		run(forgottenMs);
		const last = names.map(name => nameOf(name, replacements));
		t.deepEqual(pool.listings().map(({targetId}) => targetId as string).toSorted(), last);
		t.is(versions.sole(service, now()), versionOf(replacements), 'streams of the only version may go on');
	});

	test(`placers share the targets of a region evenly after all of them were replaced, ${goneState}`, t => {
		const {pool, run} = playReplacements(goneState);
		run(forgottenMs);
		for (const index of [0, 1]) {
			const serving = [...pool.partition(service, {count: 2, index})].filter(({listed}) => listed.state === 'serving');
			t.is(serving.length, names.length / 2);
		}
	});
}

test('a target that is gone is kept while requests run there, and one that returns is used again', t => {
	const {pool, feed, run, now} = playReplacements('lost');
	const find = (name: string) => pool.listings().find(({targetId}) => targetId === nameOf(name, replacements));
	const target = pool.usable(service, now()).find(({listed}) => listed.targetId === nameOf('e1', replacements));
	target!.attempts.set(1 as AttemptNumber, {sentAt: now()} as never);
	feed(['e1', 'e2'].map(name => listing(name, replacements, 'lost')));
	run(forgottenMs);
	t.is(find('e1')?.state, 'lost');
	t.is(find('e2'), undefined);
	target!.attempts.clear();
	run(feedEveryMs);
	t.is(find('e1'), undefined);
	feed([listing('e1', replacements, 'serving')]);
	t.true(pool.usable(service, now()).some(({listed}) => listed.targetId === nameOf('e1', replacements)));
});

test('an incarnation that said that it leaves stays so after it was forgotten', t => {
	const {pool, feed, run, now} = playReplacements('lost');
	feed([listing('e1', replacements, 'leaving')]);
	run(forgottenMs);
	feed([listing('e1', replacements, 'serving')]);
	t.false(pool.usable(service, now()).some(({listed}) => listed.targetId === nameOf('e1', replacements)));
});
