import test from 'ava';
import fc from 'fast-check';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {OrderDelegate} from '../../../src/core/orders/order-delegate.ts';
import type {OrdersMessage} from '../../../src/core/orders/orders-message.ts';
import type {RouteSettings} from '../../../src/core/settings/route-settings.ts';
import {RegionalTargetTable} from '../../../src/core/targets/regional-target-table.ts';
import {announcementFixture} from '../../fixtures/announcement-fixture.ts';
import {FakeTargets} from '../../fixtures/attempts/fake-targets.ts';
import {routeSettingsFixture} from '../../fixtures/route-settings-fixture.ts';
import {OrdersNetwork} from '../../fixtures/orders/orders-network.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

const service = 'prairie/print/proofer';
const leaseMs = 800;
/** Maximum lease of a former leader plus maximum validity of an order, in milliseconds. */
const waitMs = 3000;
const always = Number.POSITIVE_INFINITY;

/** Models that each want one replica. */
function manyModels(count: number, bytes: number): RouteSettings['models'] {
	return Object.fromEntries(Array.from({length: count}, (_, index) => [`model-${index}`, {replicas: 1, bytes}]));
}

/** Three engines in each of two regions. */
function networkWith(models: RouteSettings['models'], options: Partial<ConstructorParameters<typeof OrdersNetwork>[0]> = {}): OrdersNetwork {
	const network = new OrdersNetwork({regions: {regina: [[], [], []], winnipeg: [[], [], []]}, ...options});
	network.tree.settings.set(service, routeSettingsFixture({models}));
	return network;
}

test('missing replicas are loaded and spread over the regions', t => {
	const network = networkWith({draft: {replicas: 4, bytes: 1000}});
	network.lead('leader-1', 5, leaseMs, always);
	network.advance(60_000);
	const holders = network.holders('draft');
	t.is(holders.length, 4);
	t.is(holders.filter(name => name.startsWith('regina')).length, 2);
	t.is(network.started.length, 4, 'each replica is ordered once');
});

test('replicas in a region that is gone are loaded elsewhere, and given up once it is back', t => {
	const network = networkWith({draft: {replicas: 2, bytes: 1000}}, {regions: {regina: [['draft'], ['draft'], []], winnipeg: [[], [], []]}});
	network.lead('leader-1', 5, leaseMs, always);
	network.advance(20_000);
	const holders = (region: string) => network.holders('draft').filter(name => name.startsWith(region)).length;
	t.is(holders('winnipeg'), 0);
	network.lost.add('regina');
	network.advance(5000);
	t.is(holders('winnipeg'), 0, 'a short cut loads nothing');
	network.advance(30_000);
	t.is(holders('winnipeg'), 2);
	t.is(network.started.length, 2, 'each replica is ordered once');
	network.lost.delete('regina');
	network.advance(120_000);
	t.is(network.holders('draft').length, 2);
});

test('a replica that was to be loaded in a region that is gone is loaded elsewhere', t => {
	const network = networkWith({draft: {replicas: 2, bytes: 1000}}, {regions: {regina: [[], [], []], winnipeg: [['draft'], [], []]}});
	network.lead('leader-1', 5, leaseMs, always);
	network.advance(5000);
	network.lost.add('regina');
	network.advance(40_000);
	t.deepEqual(network.started.map(({order}) => order.targetId.split('-')[0]), ['winnipeg']);
});

test('surplus replicas are unloaded, except the last one of a model that a route names', t => {
	const network = networkWith(
		{draft: {replicas: 0, bytes: 1000}, check: {replicas: 1, bytes: 1000}},
		{regions: {regina: [['draft'], ['draft', 'check'], ['other']], winnipeg: [['check'], ['check']]}},
	);
	network.tree.settings.set(`${service}/layout`, routeSettingsFixture({model: 'draft'}));
	network.lead('leader-1', 5, leaseMs, always);
	network.advance(50_000);
	t.is(network.started.length, 0, 'nothing is unloaded before the difference has lasted a minute');
	network.advance(200_000);
	t.is(network.holders('draft').length, 1);
	t.is(network.holders('check').length, 1);
	t.is(network.holders('other').length, 1, 'a model that the settings do not name is left alone');
});

test('an engine that carried out an order of a later leader gets no order of an earlier one', t => {
	const network = networkWith({draft: {replicas: 1, bytes: 1000}}, {regions: {regina: [[]]}});
	network.announceFencing('regina-0', 9);
	network.lead('leader-1', 5, leaseMs, always);
	network.advance(60_000);
	t.is(network.started.length, 0);
});

test('at engines that ignore fencing, no order of a former leader starts after one of its successor', t => {
	let afterTakeover = 0;
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.nat(60), fc.constantFrom(0, 400, 800), (seed, steps, slowMs) => {
		const network = networkWith(manyModels(60, 1000), {seed, delayMs: 100, loadMs: 50});
		const lostAt = 5000 + (steps * 50);
		network.lead('leader-1', 5, leaseMs, lostAt);
		network.advance(lostAt - slowMs);
		network.slow.add(toId('leader-1'));
		network.advance(slowMs);
		network.lead('leader-2', 9, leaseMs, always);
		network.advance(20_000);
		const first = network.started.findIndex(({order}) => order.fencing === 9);
		afterTakeover += first < 1 ? 0 : 1;
		const waited = network.started.every(({at, order}) => order.fencing === 5 || at >= lostAt + waitMs);
		return waited && network.started.slice(first).every(({order}) => order.fencing === 9);
	}), {seed: 20_266, numRuns: 150});
	t.is(afterTakeover, 150, 'both leaders issued orders in every run');
});

test('loads stay within the weight store\'s rate across changes of leader', t => {
	const bytes = 4_000_000_000;
	const rate = 250_000_000;
	const network = networkWith({}, {loadMs: 3000});
	network.tree.settings.set(service, routeSettingsFixture({models: manyModels(20, bytes), weightStoreBytesPerSecond: rate}));
	for (let leader = 1; leader <= 6; leader++) {
		network.lead(`leader-${1 + (leader % 2)}`, leader, leaseMs, network.now + 25_000);
		for (let second = 0; second < 26; second++) {
			network.advance(1000);
			t.true(network.loadedBytes() <= (rate * network.now / 1000) + bytes, `${network.loadedBytes()} bytes at ${network.now} ms`);
		}
	}

	t.true(network.loadedBytes() >= 6 * bytes);
});

test('a delegate ignores a leader with a lower fencing number than it has seen', t => {
	const reports: OrdersMessage[] = [];
	const targets = new FakeTargets();
	targets.add('regina-0');
	const outbox = new RecordingOutbox();
	const delegate = new OrderDelegate({targets, outbox, report: (_, message) => reports.push(message)});
	const order = {orderId: '5-1', targetId: toId<TargetId>('regina-0'), action: {type: 'unload', model: 'draft'}} as const;
	const now = 1000 as Millis;
	delegate.tick(now);
	delegate.handleLead(toId('leader-1'), {type: 'lead', fencing: 5}, now);
	delegate.handleOrders({
		type: 'orders', fencing: 5, nonce: 1, validMs: 700, orders: [order],
	});
	delegate.handleLead(toId('leader-2'), {type: 'lead', fencing: 9}, now);
	delegate.handleLead(toId('leader-1'), {type: 'lead', fencing: 5}, now);
	t.deepEqual(reports.map(({fencing}) => fencing), [5, 9]);
	t.deepEqual(delegate.takeOrders(), [], 'an order that was queued under the lower number is dropped');
});

test('an engine that said in an answer that it leaves is reported to the leader, which sends it orders', t => {
	const now = 1000 as Millis;
	const outbox = new RecordingOutbox();
	const targets = new RegionalTargetTable({
		self: toId('entry-1'), entries: () => [], outbox, random: new SeededRandom(1), emit: () => undefined,
	});
	const names = ['engine-1', 'engine-2'].map(name => toId<TargetId>(name));
	for (const targetId of names) {
		targets.announce(announcementFixture({targetId}), now);
	}

	const reports: Array<Extract<OrdersMessage, {type: 'report'}>> = [];
	const delegate = new OrderDelegate({targets, outbox, report: (_, message) => reports.push(message as Extract<OrdersMessage, {type: 'report'}>)});
	const listed = () => reports.at(-1)!.engines?.map(({targetId}) => targetId);
	delegate.handleLead(toId('leader-1'), {type: 'lead', fencing: 5}, now);
	t.deepEqual(listed(), names);
	targets.recordNotice(names[0]!, {incarnation: 1, notice: {leaving: true}, request: toId('r0')}, now);
	delegate.handleLead(toId('leader-1'), {type: 'lead', fencing: 5}, now);
	t.deepEqual(listed(), [names[1]]);
});
