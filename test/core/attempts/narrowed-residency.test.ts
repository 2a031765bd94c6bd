import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {PipelineRouter} from '../../../src/core/routing/pipeline-router.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';
import {regionViewFixture} from '../../fixtures/region-view-fixture.ts';
import {routeSettingsFixture} from '../../fixtures/route-settings-fixture.ts';

const route = 'prairie/print/proofer/drafts';
const ownRegion = toId<Region>('regina-a');
const otherRegion = toId<Region>('saskatoon-a');
const otherEntry = 'entry-5';
const callerKey = 'a'.repeat(64);
/** Penalty with which requests stay in their region as long as it is allowed, in milliseconds. */
const awayPenaltyMs = 10_000;

/** A coordinator with the real router, and a suspect whose permit for engine-1 is pending. */
function startSuspect(options: {otherRegionServes: boolean}): CoordinatorHarness {
	const harness = new CoordinatorHarness({settings: {awayPenaltyMs}, router: new PipelineRouter({random: new SeededRandom(1)})});
	const target = harness.targets.add('engine-1');
	if (options.otherRegionServes) {
		harness.membership.addRegion(otherRegion, {[otherEntry]: 1}, {services: regionViewFixture(otherRegion).services});
	}

	harness.poison.alone.add('odd');
	harness.poison.permitted = false;
	harness.request('r1', {fingerprint: 'odd'});
	// The guard reserves the target for which a permit is pending.
	harness.poison.occupiedTargets.add(target);
	return harness;
}

/** Narrows the route's residency, grants the permit and returns where the suspect was started. */
function narrow(harness: CoordinatorHarness, residency: readonly Region[]): readonly string[] {
	harness.tree.settings.set(route, routeSettingsFixture({awayPenaltyMs, residency}));
	harness.poison.permitted = true;
	harness.advance(200);
	return startsOf(harness, 'r1');
}

/** Targets and entries to which the attempts of a request went. */
function startsOf(harness: CoordinatorHarness, requestId: string): readonly string[] {
	return harness.starts(requestId).map(({targetId, forwardTo}) => String(targetId ?? forwardTo));
}

test('a request that waits does not start in a region that the residency of its caller key forbids meanwhile', t => {
	const harness = new CoordinatorHarness({settings: {awayPenaltyMs, targetConcurrency: 1}, router: new PipelineRouter({random: new SeededRandom(1)})});
	harness.targets.add('engine-1');
	harness.membership.addRegion(otherRegion, {[otherEntry]: 1}, {services: regionViewFixture(otherRegion).services});
	harness.tree.callerKeys.set(callerKey, {organisation: 'clerks'});
	const first = harness.request('r1', {callerKey})!;
	harness.request('r2', {callerKey});
	t.deepEqual(harness.starts('r2'), []);
	harness.tree.callerKeys.set(callerKey, {organisation: 'clerks', residency: [otherRegion]});
	harness.end(first.attemptId);
	t.deepEqual(startsOf(harness, 'r2'), [otherEntry]);
});

test('an answer is not stored in a home region that residency forbids meanwhile', t => {
	for (const {residency, stored} of [{residency: [otherRegion], stored: false}, {residency: [ownRegion, otherRegion], stored: true}]) {
		const harness = new CoordinatorHarness({settings: {repeatable: false}});
		harness.targets.add('engine-1');
		harness.request('r1', {idempotencyKey: 'order-7', homeRegion: ownRegion});
		harness.resolveClaim('r1', {type: 'granted'});
		harness.tree.settings.set(route, routeSettingsFixture({repeatable: false, residency}));
		harness.end(harness.lastStart('r1')!.attemptId);
		t.deepEqual(harness.ledger.settled.map(({as, answer}) => ({as, stored: answer !== undefined})), [{as: 'done', stored}]);
	}
});

test('a suspect with a pending permit does not start in a region that residency forbids meanwhile', t => {
	const harness = startSuspect({otherRegionServes: true});
	t.deepEqual(harness.starts('r1'), []);
	t.deepEqual(narrow(harness, [otherRegion]), [otherEntry]);
});

test('a suspect with a pending permit does not start in a forbidden region beside a target with another suspect', t => {
	const harness = startSuspect({otherRegionServes: false});
	harness.poison.occupiedTargets.add(harness.targets.add('engine-2'));
	t.deepEqual(narrow(harness, [otherRegion]), []);
});

test('a suspect that residency forbids in every region is refused at once, although its target is reserved', t => {
	const harness = startSuspect({otherRegionServes: false});
	t.deepEqual(narrow(harness, [otherRegion]), []);
	t.like(harness.refusal('r1'), {result: 'residency', ran: 'no'});
});

test('a suspect with a pending permit keeps its target while residency allows its region', t => {
	const harness = startSuspect({otherRegionServes: true});
	harness.targets.add('engine-0');
	t.deepEqual(narrow(harness, [ownRegion, otherRegion]), ['engine-1']);
});
