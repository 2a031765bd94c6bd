import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {OrganisationId} from '../../../src/core/ids/organisation-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Organisation} from '../../../src/core/organisations/organisation.ts';
import type {RouteRule} from '../../../src/core/routes/route-rule.ts';
import {digestOf} from '../../fixtures/digest-of.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {organisationFixture} from '../../fixtures/organisation-fixture.ts';
import {regionLoadFixture} from '../../fixtures/region-load-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const [regina, saskatoon, winnipeg] = ['regina', 'saskatoon', 'winnipeg'].map(name => toId<Region>(name)) as [Region, Region, Region];
const vosi = organisationFixture('vosi', ['k-1', 'k-2']);
const known = {keyDigest: digestOf('k-1')};
const unknown = {keyDigest: digestOf('k-9')};

function documentOf(organisations: readonly Organisation[], {version = 1, route = {}}: {version?: number; route?: Partial<RouteRule>} = {}) {
	return {...routesDocumentFixture({version, route}), organisations};
}

/** An entry with one target and these organisations. */
function entryWith(organisations: readonly Organisation[] = [vosi], route: Partial<RouteRule> = {}): EdgeHarness {
	const harness = new EdgeHarness({document: documentOf(organisations, {route})});
	harness.feed({targets: [listedTargetFixture('a')], answers: harness.now as Millis});
	return harness;
}

test('a request with a known key is sent with the name of its organisation', t => {
	const harness = entryWith();
	for (const key of ['k-1', 'k-2']) {
		harness.request({keyDigest: digestOf(key)});
		t.like(harness.lastStart(), {organisation: vosi.name, passesCredentials: false});
	}

	t.is(harness.refusals().length, 0);
});

test('a request without a known key is refused at once, and nothing is sent', t => {
	const harness = entryWith();
	harness.request();
	harness.request(unknown);
	t.deepEqual(harness.refusals(), [1, 2].map(() => ({
		reason: 'unauthorized', ran: 'no', reachedTarget: false, retryAfterMs: undefined,
	})));
	t.is(harness.starts().length, 0);
	t.is(harness.core.inFlight, 0);
});

test('an open route needs no key; one that is known names the organisation', t => {
	const harness = entryWith([vosi], {isOpen: true});
	for (const [req, organisation] of [[{}, undefined], [unknown, undefined], [known, vosi.name]] as const) {
		harness.request(req);
		t.like(harness.lastStart(), {organisation, passesCredentials: false});
	}
});

test('without organisations no key is needed, and the caller\'s headers are passed on', t => {
	const harness = entryWith([]);
	harness.request(unknown);
	t.like(harness.lastStart(), {organisation: undefined, passesCredentials: true});
});

test('an entry without a configuration refuses with a time to come back, never for the key', t => {
	const harness = new EdgeHarness({document: documentOf([vosi])});
	harness.request(unknown);
	harness.run(1500);
	t.like(harness.refusals()[0], {reason: 'not-configured', ran: 'no'});
});

// Guards against a 401 for a key that was added while the entry was out of touch; the caller would give up.
test('an unknown key is not refused for good while the entry may be behind', t => {
	const harness = entryWith();
	harness.run(1100);
	harness.request(unknown);
	t.like(harness.refusals()[0], {reason: 'key-unverified', ran: 'no'});
	t.true(harness.refusals()[0]!.retryAfterMs! > 0);
	harness.request();
	t.is(harness.refusals()[1]!.reason, 'unauthorized');
	harness.request(known);
	t.is(harness.starts().length, 1);

	// It was sent before the entry or its control node stood still, so newer changes are not in it.
	harness.feed({answers: harness.now - 1100 as Millis});
	harness.request(unknown);
	t.is(harness.refusals()[2]!.reason, 'key-unverified');
	harness.feed({answers: harness.now as Millis, current: false});
	harness.request(unknown);
	t.is(harness.refusals()[3]!.reason, 'key-unverified');
	// The state of this feed was lost on the way.
	harness.feed({answers: harness.now as Millis, stateIndex: 2});
	harness.request(unknown);
	t.is(harness.refusals()[4]!.reason, 'key-unverified');
	harness.install(documentOf([vosi, organisationFixture('dape', ['k-9'])], {version: 2}), 2);
	harness.request(unknown);
	t.is(harness.lastStart().organisation, toId<OrganisationId>('dape'));
});

test('an entry that cannot read the newest document refuses no key for good', t => {
	let readable = true;
	const harness = new EdgeHarness({parseDocument: () => readable ? {document: documentOf([vosi])} : {problems: ['of a later build']}});
	harness.feed({targets: [listedTargetFixture('a')]});
	readable = false;
	harness.install(documentOf([vosi], {version: 2}), 2);
	harness.request(unknown);
	t.is(harness.refusals()[0]!.reason, 'key-unverified');
});

test('a removed key is refused once the version is in force, and a request that it began goes on', t => {
	const harness = entryWith();
	harness.request(known);
	harness.install(documentOf([organisationFixture('vosi', ['k-2'])], {version: 2}), 2);
	harness.request(known);
	t.deepEqual(harness.refusals().map(({reason}) => reason), ['unauthorized']);
	harness.head(harness.lastStart().attempt, {eventStream: false});
	harness.step({type: 'attempt-end', attempt: harness.lastStart().attempt, truncated: false});
	t.true(harness.actions.some(({type}) => type === 'complete'));
});

test('the organisation\'s priority goes before the route\'s, for waiting and at the target', t => {
	const urgent = organisationFixture('dape', ['k-3'], {priority: 0});
	const harness = new EdgeHarness({document: documentOf([vosi, urgent], {route: {priority: 3}})});
	harness.feed({targets: []});
	harness.request(known);
	harness.run(50);
	harness.request({keyDigest: digestOf('k-3')});
	harness.feed({targets: [listedTargetFixture('a')]});
	harness.run(100);
	t.deepEqual(harness.starts().map(({organisation, urgency}) => ({organisation, urgency})), [{organisation: urgent.name, urgency: 1}, {organisation: vosi.name, urgency: 7}]);
});

for (const {title, route, organisation, later, expected} of [
	{
		title: 'outside the organisation\'s homes', route: [], organisation: [saskatoon], expected: ['saskatoon:7101'],
	},
	{
		title: 'outside the intersection', route: [regina, saskatoon], organisation: [saskatoon, winnipeg], expected: ['saskatoon:7101'],
	},
	{
		title: 'though no region is in both', route: [regina], organisation: [winnipeg], expected: [],
	},
	{
		title: 'outside the homes of the organisation in a newer document', route: [], organisation: [regina, winnipeg], later: [winnipeg], expected: ['winnipeg:7101'],
	},
]) {
	test(`a request is sent ${title}`, t => {
		const of = (homes: readonly Region[]) => organisationFixture('vosi', ['k-1'], {homes});
		const harness = new EdgeHarness({document: documentOf([of(organisation)], {route: {homes: route}})});
		const everything = {targets: [listedTargetFixture('a')], regions: [saskatoon, winnipeg].map(region => regionLoadFixture(region, `${region}:7101`))};
		// It waits for a target until the newer document is in force.
		harness.feed(later === undefined ? everything : {targets: []});
		harness.request(known);
		harness.run(200);
		if (later !== undefined) {
			harness.install(documentOf([of(later)], {version: 2, route: {homes: route}}), 2);
			harness.feed(everything);
			harness.run(200);
		}

		t.deepEqual(harness.starts().map(({address}) => address), expected);
		t.true(harness.starts().every(({organisation: name}) => name === vosi.name));
	});
}

// Guards against requests that leave the homes of an organisation that a newer document adds or renames while they wait.
for (const {title, before} of [
	{title: 'before any organisation was configured', before: []},
	{title: 'before its organisation was renamed', before: [organisationFixture('dape', ['k-1'])]},
]) {
	test(`a request that came ${title} stays in the homes of its key's organisation`, t => {
		const harness = new EdgeHarness({document: documentOf(before)});
		harness.feed({targets: []});
		harness.request(known);
		harness.run(200);
		harness.install(documentOf([organisationFixture('vosi', ['k-1'], {homes: [winnipeg]})], {version: 2}), 2);
		harness.feed({targets: [listedTargetFixture('a')], regions: [saskatoon, winnipeg].map(region => regionLoadFixture(region, `${region}:7101`))});
		harness.run(200);
		t.deepEqual(harness.starts().map(({address}) => address), ['winnipeg:7101']);
	});
}

test('a request of an entry with an older document stays in the homes of its key\'s organisation', t => {
	const harness = new EdgeHarness({document: documentOf([organisationFixture('vosi', ['k-1'], {homes: [winnipeg]})], {version: 2})});
	harness.feed({targets: [listedTargetFixture('a')]});
	harness.request({...known, forwarded: {region: winnipeg, documentVersion: 1}});
	t.deepEqual(harness.starts(), []);
	t.like(harness.refusals()[0], {reason: 'no-target', ran: 'no'});
});

test('a forwarded request keeps the organisation that the other entry names, and needs no key', t => {
	const forwarded = {region: winnipeg, documentVersion: 1, service: toId<ServiceName>('desk')};
	const harness = entryWith();
	harness.request({forwarded, organisation: vosi.name});
	t.is(harness.lastStart().organisation, vosi.name);
	// The other entry may apply an older document without organisations; with the same one it has identified the caller.
	harness.request({forwarded: {...forwarded, documentVersion: 0}});
	t.is(harness.starts().length, 2);
	harness.request({forwarded, ...known});
	t.deepEqual(harness.refusals().map(({reason}) => reason), ['outdated']);
});

test('organisations are counted at the entry that took the request, in a bounded number of lines', t => {
	const organisations = Array.from({length: 100}, (_, index) => organisationFixture(`o-${index}`, [`k-${index}`]));
	const harness = entryWith(organisations);
	for (let index = 0; index < organisations.length; index++) {
		harness.request({keyDigest: digestOf(`k-${index}`)});
	}

	const counts = harness.actions.flatMap(action => action.type === 'count' && action.name === 'organisation_requests' ? [action.reason] : []);
	t.is(counts.length, 100);
	t.is(new Set(counts).size, 65);
	harness.request({forwarded: {region: winnipeg, documentVersion: 1}, organisation: vosi.name});
	t.is(harness.actions.filter(action => action.type === 'count' && action.name === 'organisation_requests').length, 100);
});

test('each status carries the time of the entry, which dates the feed that answers it', t => {
	const harness = entryWith();
	harness.run(600);
	const sent = harness.actions.flatMap(action => action.type === 'send' && action.message.part === 'control' && action.message.body.type === 'follow' ? [action.message.body.sentAt] : []);
	t.true(sent.length > 0 && sent.every(sentAt => sentAt !== undefined && sentAt <= harness.now));
	t.is(harness.core.status(harness.now as Millis).control, toId<NodeId>('10.1.0.1:7104'));
});
