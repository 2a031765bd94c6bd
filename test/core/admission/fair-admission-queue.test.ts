import test from 'ava';
import fc from 'fast-check';
import {FairAdmissionQueue} from '../../../src/core/admission/fair-admission-queue.ts';
import {VirtualClock} from '../../../src/core/admission/virtual-clock.ts';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {OrganisationId} from '../../../src/core/ids/organisation-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {RequestInfo} from '../../../src/core/settings/request-info.ts';
import {requestInfoFixture} from '../../fixtures/request-info-fixture.ts';
import {routeSettingsFixture} from '../../fixtures/route-settings-fixture.ts';

const service = 'prairie/print/proofer';
const start = 0 as Millis;

function admissionFixture() {
	return new FairAdmissionQueue({random: new SeededRandom(7)});
}

function from(organisation: string, overrides: Partial<RequestInfo> = {}): RequestInfo {
	return requestInfoFixture({organisation: toId<OrganisationId>(organisation), ...overrides});
}

function dispatchNext(admission: FairAdmissionQueue, now = start): RequestInfo | undefined {
	const req = admission.peek(service, now);
	if (req) {
		admission.take(req.requestId);
		admission.recordDispatch(req, now);
	}

	return req;
}

function fill(admission: FairAdmissionQueue, requests: readonly RequestInfo[], queueLimit = 256): number {
	const settings = routeSettingsFixture({queueLimit});
	return requests.filter(req => admission.enqueue(req, settings, 0, start).type === 'queued').length;
}

test('a burst of one organisation does not delay the others', t => {
	const admission = admissionFixture();
	fill(admission, Array.from({length: 50}, () => from('burst')));
	fill(admission, [from('a'), from('b'), from('c')]);
	const first = Array.from({length: 4}, () => dispatchNext(admission)?.organisation as string);
	t.deepEqual(first.toSorted(), ['a', 'b', 'burst', 'c']);
});

test('an organisation with three times the weight gets three times the work', t => {
	const admission = admissionFixture();
	fill(admission, Array.from({length: 40}, () => from('heavy', {organisationWeight: 3})));
	fill(admission, Array.from({length: 40}, () => from('light')));
	const dispatched = Array.from({length: 40}, () => dispatchNext(admission)?.organisation as string);
	const heavy = dispatched.filter(organisation => organisation === 'heavy').length;
	t.true(heavy >= 29 && heavy <= 31);
});

test('requests are dispatched strictly by priority, whatever the order of arrival', t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.nat(4)), {minLength: 1, maxLength: 60}), arrivals => {
		const admission = admissionFixture();
		fill(admission, arrivals.map(([priority, organisation]) => from(`o${organisation}`, {priority})));
		const dispatched = arrivals.map(() => dispatchNext(admission)!.priority);
		t.deepEqual(dispatched, dispatched.toSorted((a, b) => a - b));
	}), {seed: 5, numRuns: 50});
});

test('a full queue refuses the organisation that fills it and evicts its newest request for others', t => {
	const admission = admissionFixture();
	const burst = Array.from({length: 8}, () => from('burst'));
	t.is(fill(admission, burst, 8), 8);
	const settings = routeSettingsFixture({queueLimit: 8});
	const more = admission.enqueue(from('burst'), settings, 0, start);
	t.is(more.type === 'refused' && more.refusal.result, 'organisationShare');
	t.is(admission.enqueue(from('quiet'), settings, 0, start).type, 'queued');
	t.is(admission.depth(service), 8);
	const [evicted, ...rest] = admission.expire(start);
	t.is(evicted?.req, burst[7]);
	t.is(evicted?.refusal.ran, 'no');
	t.is(rest.length, 0);
});

test('a full queue evicts a request for a better priority and never for a worse one', t => {
	const admission = admissionFixture();
	fill(admission, [from('a'), from('b'), from('c')], 3);
	const settings = routeSettingsFixture({queueLimit: 3});
	const worse = admission.enqueue(from('d', {priority: 7}), settings, 0, start);
	t.is(worse.type === 'refused' && worse.refusal.result, 'queueFull');
	t.is(admission.enqueue(from('d', {priority: 1}), settings, 0, start).type, 'queued');
	t.is(dispatchNext(admission)?.priority, 1);
});

test('queues never exceed their limit and every refusal has a retry time', t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.nat(20), fc.nat(40_000)), {maxLength: 120}), arrivals => {
		const admission = admissionFixture();
		for (const [priority, organisation, predictedMs] of arrivals) {
			const outcome = admission.enqueue(from(`o${organisation}`, {priority}), routeSettingsFixture({queueLimit: 10}), predictedMs, start);
			t.true(outcome.type === 'queued' || outcome.refusal.retryAfterMs! > 0);
			t.true(admission.depth(service) <= 10);
		}

		t.true(admission.expire(start).every(({refusal}) => refusal.retryAfterMs! > 0));
	}), {seed: 11, numRuns: 50});
});

test('a request that cannot meet its deadline is refused at once, with a jittered retry time', t => {
	const admission = admissionFixture();
	const times = new Set<number>();
	for (let index = 0; index < 20; index++) {
		const outcome = admission.enqueue(from('a'), routeSettingsFixture(), 40_000, start);
		t.is(outcome.type === 'refused' && outcome.refusal.result, 'deadline');
		times.add(outcome.type === 'refused' ? outcome.refusal.retryAfterMs! : 0);
	}

	t.true(times.size > 15);
});

test('a slowly draining queue refuses new requests that would wait beyond their deadline', t => {
	const admission = admissionFixture();
	fill(admission, Array.from({length: 40}, (_, index) => from(`o${index}`)));
	for (let at = 0; at <= 5000; at += 1000) {
		dispatchNext(admission, at as Millis);
	}

	const outcome = admission.enqueue(from('new'), routeSettingsFixture(), 0, 5000 as Millis);
	t.is(outcome.type === 'refused' && outcome.refusal.result, 'deadline');
	t.is(admission.enqueue(from('new', {priority: 0}), routeSettingsFixture(), 0, 5000 as Millis).type, 'queued');
});

test('a waiting request is removed and refused when its deadline passes', t => {
	const admission = admissionFixture();
	fill(admission, [from('a', {deadlineAt: 500 as Millis}), from('b')]);
	t.deepEqual(admission.expire(499 as Millis), []);
	t.deepEqual(admission.expire(500 as Millis).map(({refusal}) => refusal.result), ['deadline']);
	t.is(admission.depth(service), 1);
	t.deepEqual(admission.waitingServices(), [service]);
});

test('skipped requests keep their position in the queue', t => {
	const admission = admissionFixture();
	const [first, second] = [from('a', {priority: 2}), from('b', {priority: 5})];
	fill(admission, [first, second]);
	t.is(admission.peek(service, start, new Set([first.requestId])), second);
	t.is(admission.peek(service, start, new Set([first.requestId, second.requestId])), undefined);
	t.is(admission.peek(service, start), first);
});

test('the number of organisations kept is bounded', t => {
	const clock = new VirtualClock();
	for (let index = 0; index < 120_000; index++) {
		const organisation = toId<OrganisationId>(`o${index}`);
		clock.advance(organisation, {start: clock.startTag(organisation), work: 1, weight: 1});
	}

	t.true(clock.size <= 50_001);
});
