import {createHash} from 'node:crypto';
import test from 'ava';
import fc from 'fast-check';
import {readDocument} from '../../platform/read-document.ts';
import type {Region} from '../../src/core/ids/region.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import {documentProblems} from '../../src/core/routes/document-problems.ts';
import type {RoutesDocument} from '../../src/core/routes/routes-document.ts';
import {RouteTable} from '../../src/core/routes/route-table.ts';

const route = {
	name: 'r-1',
	host: 'ficu95.example',
	'path-prefix': '/lohu930/',
	kind: 'streaming',
	'timeout-ms': 12_000,
	'target-latency-ms': 1200,
	priority: 1,
	'traffic-split': [{service: 'huvo11a', weight: 90}, {service: 'wuno96b', weight: 10}],
	attempts: 2,
	'sticky-sessions': true,
	resumable: true,
	'target-gap-ms': 600,
	'home-regions': ['muscat'],
};
const whole = {
	version: 7,
	routes: [route, {
		...route, name: 'r-2', 'path-prefix': '/lohu930/2f/', kind: 'unsafe', 'traffic-split': undefined, service: 'wuno96b',
	}],
	services: [
		{
			name: 'huvo11a', 'connection-limit': 360, 'cold-start-s': 3, engine: {slots: 64, 'kv-cache-tokens': 425_000, stride: 8},
		},
		{name: 'wuno96b', 'connection-limit': 100, 'cold-start-s': 0},
	],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
};

function problemsOf(value: unknown): readonly string[] {
	const result = readDocument(typeof value === 'string' ? value : JSON.stringify(value));
	return 'problems' in result ? result.problems : documentProblems(result.document);
}

function tableOf(value: unknown): RouteTable {
	const result = readDocument(JSON.stringify(value));
	if ('problems' in result) {
		throw new Error(result.problems.join('; '));
	}

	return new RouteTable(result.document);
}

test('a complete configuration is valid, and the longest matching prefix selects the route', t => {
	t.deepEqual(problemsOf(whole), []);
	const table = tableOf(whole);
	t.is(table.match('FICU95.example:80', '/lohu930/2f/x?y=/lohu930/')?.name, 'r-2');
	t.is(table.match('ficu95.example', '/lohu930/2f')?.name, 'r-1');
	t.is(table.match('ficu95.example', '/other/'), undefined);
	t.is(table.match('other.example', '/lohu930/'), undefined);
});

test('a traffic split follows its weights, and a request id always selects the same service', t => {
	const table = tableOf(whole);
	const [first] = table.document.routes;
	const picks = Array.from({length: 2000}, (_, index) => table.pickService(first!, `request-${index}`));
	const share = picks.filter(service => service === table.document.services[0]!.name).length / picks.length;
	t.true(share > 0.87 && share < 0.93, `share ${share}`);
	t.is(table.pickService(first!, 'request-5'), picks[5]!);
});

test('each problem of an invalid configuration is reported', t => {
	t.is(problemsOf(JSON.stringify(whole).slice(0, -20)).length, 1);
	t.regex(problemsOf({...whole, routes: [{...route, 'traffic-split': [{service: 'nobody', weight: 1}]}]}).join('; '), /nobody/v);
	t.regex(problemsOf({...whole, routes: [route, {...route, name: 'r-3'}]}).join('; '), /same host and prefix/v);
	t.regex(problemsOf({...whole, routes: [{...route, 'traffic-split': [{service: 'huvo11a', weight: 0}]}]}).join('; '), /weights/v);
	t.regex(problemsOf({...whole, routes: [{...route, 'timeout-ms': 0}]}).join('; '), /timeout/v);
	t.regex(problemsOf({...whole, routes: [{...route, kind: 'telepathy'}]}).join('; '), /telepathy/v);
	t.true(problemsOf({routes: [], services: []}).length > 0);
});

test('arbitrary input never throws', t => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.anything().map(value => JSON.stringify({...whole, routes: [value], services: value}) ?? '')), text => {
		readDocument(text);
	}), {seed: 11, numRuns: 500});
	t.pass();
});

test('organisations keep digests of their keys only, and a rate of 0 is no quota', t => {
	const {organisations, routes} = tableOf({
		...whole,
		routes: [{...route, anonymous: true}],
		tenants: [
			{
				name: 'vosi', 'access-keys': ['k-1', 'k-2'], priority: 2, unit: 'tokens', 'uncached-tokens': 900, 'rate-per-s': 5000, burst: 200, 'home-regions': ['muscat'],
			},
			{
				name: 'dape', 'access-keys': ['k-3'], 'rate-per-s': 0, burst: 7,
			},
		],
	}).document;
	t.true(routes[0]!.isOpen);
	t.deepEqual(organisations.map(({name, priority, homes, quota}) => ({
		name, priority, homes, quota,
	})) as unknown, [
		{
			name: 'vosi', priority: 2, homes: ['muscat'], quota: {
				unit: 'tokens', perSecond: 5000, burst: 200, defaultTokens: 900,
			},
		},
		{
			name: 'dape', priority: undefined, homes: [], quota: undefined,
		},
	]);
	t.deepEqual([...organisations[1]!.keyDigests] as string[], [createHash('sha256').update('k-3').digest('hex')]);
	t.notRegex(JSON.stringify(organisations), /k-[1-3]/v);
	t.deepEqual(tableOf(whole).document.organisations, []);
});

// Guards against a document that takes effect in part, or whose refusal tells a key to whoever reads the log.
test('each problem of an organisation is refused with its field and a remedy, without its key', t => {
	const tenant = {name: 'vosi', 'access-keys': ['secret-1']};
	const cases: ReadonlyArray<readonly [tenants: readonly object[], problem: RegExp]> = [
		[[tenant, {...tenant, name: 'dape'}], /organisation dape: key 1 is also a key of vosi: remove/v],
		[[tenant, {...tenant, 'access-keys': ['secret-2']}], /organisation vosi: another organisation has the same name: rename/v],
		[[{...tenant, name: ''}], /organisation 1: the name is empty: set/v],
		[[{...tenant, name: 'a\r\nb'}], /the name cannot be sent in a header: remove/v],
		[[{...tenant, 'access-keys': ['secret-1', '']}], /tenants.0.access-keys.1: must not be empty/v],
		[[{...tenant, 'access-keys': ['secret-1 ']}], /tenants.0.access-keys.0: must not/v],
		...['\u0001secret-1', 'secret-1\u007F', '\u0000'].map(key => [[{...tenant, 'access-keys': [key]}], /tenants.0.access-keys.0: must not/v] as const),
		[[{...tenant, unit: 'bytes'}], /tenants.0.unit: must be tokens or requests/v],
		[[{...tenant, 'home-regions': ['muscat', 'nowhere']}], /organisation vosi: home region nowhere is not a region of this deployment: use muscat/v],
		...['rate-per-s', 'burst', 'priority', 'uncached-tokens'].flatMap(field => [-1, 'MANY', '1'].map(value =>
			[[{...tenant, [field]: value}], new RegExp(`tenants.0.${field}: must be a finite number of at least 0: correct`, 'v')] as const)),
	];
	for (const [tenants, problem] of cases) {
		// JSON has no infinite number, but one too large for a number is read as infinite.
		const result = readDocument(JSON.stringify({...whole, tenants}).replace('"MANY"', '1e999'));
		const problems = 'problems' in result ? result.problems : documentProblems(result.document, {regions: new Set([toId<Region>('muscat')])});
		t.is(problems.length, 1);
		t.regex(problems[0]!, problem);
		t.notRegex(problems[0]!, /secret/v);
	}

	t.deepEqual(problemsOf({...whole, tenants: [tenant, {name: 'dape', 'access-keys': ['secret-2', 'secret-2']}]}), []);
	// Node quotes the text around the place where it stops being JSON.
	t.deepEqual(problemsOf('{"access-keys": [secret-1]}').filter(problem => problem.includes('secret')), []);
});

test('weights that are not finite, and homes that are no region, are refused', t => {
	const split = JSON.stringify({...whole, routes: [{...route, 'traffic-split': [{service: 'huvo11a', weight: 'MANY'}]}]}).replace('"MANY"', '1e999');
	t.regex(problemsOf(split)[0]!, /routes.0.traffic-split.0.weight: must be a finite number of at least 0: correct/v);
	const {document} = readDocument(JSON.stringify(whole)) as {document: RoutesDocument};
	t.deepEqual(documentProblems(document, {regions: new Set([toId<Region>('muscat'), toId<Region>('sohar')])}), []);
	t.regex(documentProblems(document, {regions: new Set([toId<Region>('sohar')])})[0]!, /route r-1: home region muscat is not a region of this deployment: use sohar/v);
});
