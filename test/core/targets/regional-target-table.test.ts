import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {ProbeAction} from '../../../src/core/targets/probe-action.ts';
import {RegionalTargetTable} from '../../../src/core/targets/regional-target-table.ts';
import {announcementFixture} from '../../fixtures/announcement-fixture.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

const service = {firm: 'prairie', deployment: 'print', service: 'proofer'};
const {targetId} = announcementFixture();

function regionFixture(size: number) {
	const entries = Array.from({length: size}, (_, index) => toId<NodeId>(`entry-${index}`));
	return entries.map((self, index) => {
		const outbox = new RecordingOutbox();
		const probes: ProbeAction[] = [];
		const table = new RegionalTargetTable({
			self,
			entries: () => entries,
			outbox,
			random: new SeededRandom(index + 1),
			emit(action) {
				probes.push(action);
			},
		});
		return {
			self, outbox, table, probes,
		};
	});
}

type RegionFixture = ReturnType<typeof regionFixture>;

/** Delivers the sent messages except those that `lost` matches; returns the number of bytes sent. */
function deliver(region: RegionFixture, now: Millis, lost: (type: string) => boolean = () => false): number {
	let bytes = 0;
	for (const {self, outbox} of region) {
		for (const {to, message} of outbox.takeSent()) {
			bytes += JSON.stringify(message).length;
			if (message.part === 'targets' && !lost(message.body.type)) {
				region.find(entry => entry.self === to)?.table.handle(self, message.body, now);
			}
		}
	}

	return bytes;
}

function run(region: RegionFixture, from: number, to: number, each: (now: Millis) => void = () => undefined): number {
	let bytes = 0;
	for (let at = from; at <= to; at += 100) {
		const now = at as Millis;
		each(now);
		for (const {table} of region) {
			table.tick(now);
		}

		bytes += deliver(region, now);
	}

	return bytes;
}

function serves(entry: RegionFixture[number], at: number): boolean {
	return entry.table.serving(service, undefined, at as Millis).length > 0;
}

test('a target announced to one entry is listed as serving by all entries until its lease ends', t => {
	const region = regionFixture(3);
	region[0]!.table.announce(announcementFixture(), 0 as Millis);
	run(region, 0, 2900);
	t.true(region.every(entry => serves(entry, 2900)));
	t.false(region.some(entry => serves(entry, 3000)));
	run(region, 3000, 3100);
	t.deepEqual(region[2]!.table.takeLost(), [targetId]);
	t.deepEqual(region[2]!.table.takeLost(), []);
});

for (const standstillMs of [1000, 2000, 5000]) {
	test(`targets whose announcements wait unread after a standstill of ${standstillMs} ms are not lost`, t => {
		const region = regionFixture(2);
		region[0]!.table.announce(announcementFixture(), 0 as Millis);
		run(region, 0, 2500);
		const woken = 2500 + standstillMs;
		for (const entry of region) {
			entry.table.tick(woken as Millis);
			t.true(serves(entry, woken));
			t.deepEqual(entry.table.takeLost(), []);
		}

		region[0]!.table.announce(announcementFixture({sequence: 2}), woken as Millis);
		run(region, woken + 100, woken + 2900);
		t.true(region.every(entry => serves(entry, woken + 2900)));
	});

	test(`a target that goes during a standstill of ${standstillMs} ms is lost once its lease is over after it`, t => {
		const [entry] = regionFixture(1);
		entry!.table.announce(announcementFixture(), 0 as Millis);
		run([entry!], standstillMs, standstillMs + 3000);
		t.deepEqual(entry!.table.takeLost(), [targetId]);
	});
}

test('`leaving` reaches every entry at once, and a late `serving` announcement does not revive the target', t => {
	const region = regionFixture(6);
	region[0]!.table.announce(announcementFixture(), 0 as Millis);
	run(region, 0, 1000);
	region[0]!.table.announce(announcementFixture({sequence: 3, state: 'leaving'}), 1100 as Millis);
	deliver(region, 1100 as Millis);
	t.false(region.some(entry => serves(entry, 1100)));
	t.is(region[1]!.table.announce(announcementFixture({sequence: 2}), 1200 as Millis), 'stale');
	t.is(region[1]!.table.announce(announcementFixture({sequence: 9}), 1200 as Millis), 'stale');
	run(region, 1200, 2000);
	t.false(region.some(entry => serves(entry, 2000)));
});

test('an announcement of an older incarnation is stale, and a newer incarnation reports the old one as lost', t => {
	const [entry] = regionFixture(1);
	entry!.table.announce(announcementFixture({incarnation: 5}), 0 as Millis);
	t.is(entry!.table.announce(announcementFixture({incarnation: 4, sequence: 99}), 10 as Millis), 'stale');
	t.is(entry!.table.announce(announcementFixture({incarnation: 6}), 20 as Millis), 'accepted');
	t.deepEqual(entry!.table.takeLost(), [targetId]);
});

test('if all `leaving` messages are lost, the target gets no new work after its lease of 3 s', t => {
	const region = regionFixture(2);
	region[0]!.table.announce(announcementFixture(), 0 as Millis);
	run(region, 0, 900);
	region[0]!.table.announce(announcementFixture({sequence: 2, state: 'leaving'}), 1000 as Millis);
	for (let at = 1000; at <= 4000; at += 100) {
		region[0]!.table.announce(announcementFixture({sequence: at, state: 'leaving'}), at as Millis);
		for (const {table} of region) {
			table.tick(at as Millis);
		}

		deliver(region, at as Millis, () => true);
	}

	t.false(serves(region[1]!, 4000));
});

test('a delayed compact load does not renew a lease that has ended', t => {
	const region = regionFixture(2);
	region[0]!.table.announce(announcementFixture(), 0 as Millis);
	run(region, 0, 600);
	region[0]!.table.announce(announcementFixture({sequence: 2}), 700 as Millis);
	region[0]!.table.tick(1200 as Millis);
	const delayed = region[0]!.outbox.takeSent();
	t.true(delayed.length > 0);
	for (let at = 700; at < 9000; at += 100) {
		region[1]!.table.tick(at as Millis);
	}

	for (const {message} of delayed) {
		region[1]!.table.handle(region[0]!.self, message.body as never, 9000 as Millis);
	}

	t.false(serves(region[1]!, 9000));
});

test('85 entries keep the leases of 172 targets with less than 12 KB per second sent by each entry', t => {
	const region = regionFixture(85);
	const announceAll = (now: Millis) => {
		for (let index = 0; index < 172; index++) {
			if ((now / 100) % 10 === index % 10) {
				const running = (now / 100 * 7) % 13;
				region[index % 85]!.table.announce(announcementFixture({
					targetId: toId<TargetId>(`engine-${index}`), sequence: now, load: {running, queued: 0, ageMs: 0},
				}), now);
			}
		}
	};

	run(region, 0, 4000, announceAll);
	for (const {table} of region) {
		table.takeLost();
	}

	const seconds = 10;
	const bytes = run(region, 4100, 4000 + (seconds * 1000), announceAll);
	const perNode = bytes / 85 / seconds;
	t.log(`${Math.round(perNode)} bytes per second sent by each entry`);
	t.true(perNode < 12_000);
	const lost = region.reduce((sum, {table}) => sum + table.takeLost().length, 0);
	t.is(lost, 0);
	const served = region.map(({table}) => table.serving(service, undefined, 14_000 as Millis).length);
	t.is(Math.min(...served), 172);
});

test('a target that could not be reached is probed until a connection succeeds, or a new incarnation starts', t => {
	const region = regionFixture(1);
	const [{table, probes}] = region as [RegionFixture[number]];
	const isReachable = () => table.get(targetId, 6000 as Millis)!.reachability.reachable;
	const announce = (now: Millis, incarnation = 1) => {
		table.announce(announcementFixture({incarnation, sequence: now + 1}), now);
	};

	run(region, 0, 1000, announce);
	t.is(probes.length, 0);
	table.recordConnection(targetId, false, 1000 as Millis);
	run(region, 1100, 4500, announce);
	t.is(probes.length, 4, 'at once and each second');
	t.false(isReachable());
	table.recordConnection(targetId, true, 4500 as Millis);
	run(region, 4600, 5000, announce);
	t.is(probes.length, 4);
	t.true(isReachable());
	table.recordConnection(targetId, false, 5000 as Millis);
	announce(5100 as Millis, 2);
	t.true(isReachable());
});

test('a target that is silent while it has requests is probed', t => {
	const region = regionFixture(1);
	const [{table, probes}] = region as [RegionFixture[number]];
	const announce = (now: Millis) => {
		table.announce(announcementFixture({sequence: now + 1}), now);
	};

	run(region, 0, 5000, announce);
	t.is(probes.length, 0, 'it is idle');
	table.recordStart(targetId, {promptTokens: 10, outputTokens: 10, prefixBlocks: []}, 5000 as Millis);
	run(region, 5000, 5900, announce);
	table.recordSign(targetId, 5900 as Millis);
	run(region, 6000, 6800, announce);
	t.is(probes.length, 0, 'it has answered lately');
	run(region, 6900, 7000, announce);
	t.is(probes.length, 1);
});

test('a target that said in an answer that it leaves is probed', t => {
	const region = regionFixture(1);
	const [{table, probes}] = region as [RegionFixture[number]];
	const announce = (now: Millis, incarnation = 1) => {
		table.announce(announcementFixture({incarnation, sequence: now + 1}), now);
	};

	announce(0 as Millis);
	table.recordNotice(targetId, {incarnation: 1, notice: {leaving: true}, request: toId('r0')}, 0 as Millis);
	table.recordConnection(targetId, false, 0 as Millis);
	run(region, 100, 3000, announce);
	t.is(probes.length, 0);
	announce(3100 as Millis, 2);
	table.recordConnection(targetId, false, 3100 as Millis);
	run(region, 3200, 4000, now => {
		announce(now, 2);
	});
	t.is(probes.length, 1, 'its next incarnation serves');
});
