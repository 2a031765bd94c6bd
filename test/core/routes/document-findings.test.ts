import test from 'ava';
import type {KeyDigest} from '../../../src/core/ids/key-digest.ts';
import type {OrganisationId} from '../../../src/core/ids/organisation-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Organisation} from '../../../src/core/organisations/organisation.ts';
import {documentDifference} from '../../../src/core/routes/document-difference.ts';
import {documentFindings} from '../../../src/core/routes/document-findings.ts';
import type {RouteRule} from '../../../src/core/routes/route-rule.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const regina = toId<Region>('regina');
const winnipeg = toId<Region>('winnipeg');

function organisation(changes: Partial<Organisation> = {}): Organisation {
	return {
		name: toId('city'), keyDigests: [toId<KeyDigest>('digest-1')], homes: [], ...changes,
	};
}

test('a document without contradictions has no findings', t => {
	t.deepEqual(documentFindings({...routesDocumentFixture(), organisations: [organisation()]}), []);
});

const routeCases: ReadonlyArray<{name: string; route: Partial<RouteRule>; kind: string; message: RegExp}> = [
	{
		name: 'a host with a port never matches', route: {host: 'prairie.example:80'}, kind: 'unreachable', message: /host prairie\.example:80 has a port/v,
	},
	{
		name: 'a prefix with a query never matches', route: {prefix: '/orders/?a=/'}, kind: 'unreachable', message: /prefix .* characters that no path contains/v,
	},
	{
		name: 'a service of weight 0 gets nothing', route: {split: [{service: toId('desk'), weight: 1}, {service: toId('desk'), weight: 0}]}, kind: 'unreachable', message: /weight 0/v,
	},
	{
		name: 'an objective beyond the timeout is never missed', route: {objectiveMs: 5000}, kind: 'contradiction', message: /latency objective \(5000 ms\) is longer than the timeout \(3000 ms\)/v,
	},
	{
		name: 'no attempt leaves no target', route: {attempts: 0}, kind: 'contradiction', message: /with 0 attempts/v,
	},
	{
		name: 'only streams are resumed', route: {resumable: true}, kind: 'contradiction', message: /only streams can be resumed/v,
	},
	{
		name: 'an unknown service is an error', route: {split: [{service: toId('gone'), weight: 1}]}, kind: 'error', message: /service gone is not in the document/v,
	},
];

for (const {name, route, kind, message} of routeCases) {
	test(`route: ${name}`, t => {
		const findings = documentFindings(routesDocumentFixture({route}));
		t.true(findings.some(finding => finding.kind === kind && message.test(finding.message)));
	});
}

test('an organisation whose homes are none of a route is refused there', t => {
	const document = {...routesDocumentFixture({route: {homes: [regina]}}), organisations: [organisation({homes: [winnipeg]})]};
	t.regex(documentFindings(document)[0]!.message, /none of its home regions \(winnipeg\) is a home of route orders \(regina\)/v);
});

test('a quota below the cost of one request lets none pass', t => {
	const quota = {
		unit: 'tokens', perSecond: 10, burst: 0, defaultTokens: 200,
	} as const;
	const document = {...routesDocumentFixture(), organisations: [organisation({quota})]};
	t.regex(documentFindings(document)[0]!.message, /below the cost of one request \(200\)/v);
});

test('the difference names what changes, and no key', t => {
	const inForce = {...routesDocumentFixture(), organisations: [organisation()]};
	const next = {
		...routesDocumentFixture({version: 2, route: {timeoutMs: 4000}}),
		organisations: [organisation({keyDigests: [toId('digest-2'), toId('digest-3')]}), organisation({name: toId<OrganisationId>('county')})],
	};
	const difference = documentDifference(inForce, next);
	t.deepEqual(difference, [
		'version 2 replaces version 1',
		'route orders: timeoutMs changes from 3000 to 4000',
		'organisation county is added',
		'organisation city: 2 keys are added and 1 removed',
	]);
	t.false(difference.join(' ').includes('digest-'));
});

test('a version that is not above the one in force changes nothing', t => {
	const document = routesDocumentFixture({version: 3});
	t.deepEqual(documentDifference(document, document), ['version 3 is not above version 3, which is in force: it would change nothing']);
});
