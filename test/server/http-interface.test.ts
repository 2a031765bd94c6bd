import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {sha256} from '../../src/server/sha256.ts';
import {Launcher} from '../harness/launcher.ts';
import {makeInstallationSpec} from '../harness/make-installation-spec.ts';

type Problem = {readonly code: number; readonly ran: string; readonly detail: string};

const spec = makeInstallationSpec({
	entriesPerRegion: 1,
	proxies: false,
	operations: [
		{
			op: 'set', path: 'prairie', key: `callerKeys/${sha256('no-home')}`, value: {organisation: 'no-home'},
		},
		{op: 'create', path: 'prairie/annex'},
		{
			op: 'set', path: 'prairie/annex', key: 'residency', value: ['regina-a', 'winnipeg-a'],
		},
		{
			op: 'set', path: 'prairie/annex', key: `callerKeys/${sha256('annex')}`, value: {organisation: 'annex', residency: ['saskatoon-a', 'winnipeg-a']},
		},
	],
});
const entry = spec.nodes[0]!;
/** Time within which an entry connects to a target that has just been announced, in milliseconds. */
const probeTimeMs = 3000;
let launcher: Launcher;

test.before(async () => {
	launcher = await Launcher.create(spec);
	await launcher.start();
});

test.after.always(async () => {
	await launcher.dispose({keepFolder: false});
});

function url(path: string): string {
	return `http://${launcher.address(entry.node)}${path}`;
}

async function postCompletion(body: string, key = `${entry.region}-home`, headers: Record<string, string> = {}) {
	const res = await request(url('/v1/chat/completions'), {
		method: 'POST',
		headers: {
			authorization: `Bearer ${key}`, 'content-type': 'application/json', 'lovageferry-service': 'proofer', ...headers,
		},
		body,
	});
	return {status: res.statusCode, problem: await res.body.json() as Problem};
}

const validBody = JSON.stringify({messages: [{role: 'user', content: 'Draft.'}]});

test('a missing or wrong key is refused with 401 and result 1001', async t => {
	for (const key of ['', 'wrong']) {
		const {status, problem} = await postCompletion(validBody, key); // eslint-disable-line no-await-in-loop
		t.is(status, 401);
		t.like(problem, {code: 1001, ran: 'no'});
	}
});

test('malformed and oversized bodies are refused with their result codes', async t => {
	const large = JSON.stringify({messages: [{role: 'user', content: 'x'.repeat(5_000_000)}]});
	for (const [body, code] of [['{', 1002], ['{"messages": []}', 1002], [large, 1003]] as const) {
		const {problem} = await postCompletion(body); // eslint-disable-line no-await-in-loop
		t.like(problem, {code, ran: 'no'});
	}
});

test('an unknown route and a missing idempotency key are refused as not run; with a key, a run cannot be ruled out', async t => {
	const {problem} = await postCompletion(validBody, undefined, {'lovageferry-route': 'nowhere'});
	t.like(problem, {code: 1004, ran: 'no'});
	const keyed = await postCompletion(validBody, undefined, {'lovageferry-route': 'nowhere', 'idempotency-key': 'order-1'});
	t.like(keyed.problem, {code: 1004, ran: 'maybe'});
	const res = await request(url('/s/pressdesk/orders'), {
		method: 'POST', headers: {authorization: `Bearer ${entry.region}-home`, 'lovageferry-route': 'orders'}, body: '{}',
	});
	t.like(await res.body.json(), {code: 3001, ran: 'no'});
});

test('a request that must not run twice is refused if neither its key nor its route has a home region', async t => {
	const res = await request(url('/s/pressdesk/orders'), {
		method: 'POST', headers: {authorization: 'Bearer no-home', 'lovageferry-route': 'orders', 'idempotency-key': 'order-2'}, body: '{}',
	});
	const problem = await res.body.json() as Problem;
	t.like(problem, {code: 3004, ran: 'maybe'});
	t.regex(problem.detail, /homeRegion/v);
});

/** Regions of the entries that a caller with the key is given; without a key, those of all entries that the node knows. */
async function listedRegions(key?: string): Promise<readonly string[]> {
	const res = await request(url('/v1/entries'), {headers: key === undefined ? {} : {authorization: `Bearer ${key}`}});
	const {entries} = await res.body.json() as {entries: ReadonlyArray<{region: string}>};
	return [...new Set(entries.map(({region}) => region))].sort();
}

test('the list of entries has none outside the residency of the caller key', async t => {
	const regions = ['regina-a', 'saskatoon-a', 'winnipeg-a'];
	let known = await listedRegions();
	for (let tries = 0; known.length < regions.length && tries < 100; tries++) {
		await delay(100); // eslint-disable-line no-await-in-loop
		known = await listedRegions(); // eslint-disable-line no-await-in-loop
	}

	t.deepEqual(known, regions);
	t.deepEqual(await listedRegions('regina-a-home'), regions, 'the key has no residency');
	t.deepEqual(await listedRegions('regina-a-bound'), ['regina-a']);
	t.deepEqual(await listedRegions('winnipeg-a-bound'), ['winnipeg-a']);
	t.deepEqual(await listedRegions('annex'), ['winnipeg-a'], 'the deployment and the key both have one');
});

test('operator endpoints need an operator key', async t => {
	for (const path of ['/v1/tree', '/v1/history', '/v1/status', '/v1/targets']) {
		const res = await request(url(path)); // eslint-disable-line no-await-in-loop
		t.is(res.statusCode, 401, `${path} without a key`);
		await res.body.dump(); // eslint-disable-line no-await-in-loop
	}

	const res = await request(url('/v1/changes'), {method: 'POST', body: '{}'});
	t.is(res.statusCode, 401);
	await res.body.dump();
});

const stranger = {
	targetId: 'stranger',
	incarnation: 1,
	sequence: 1,
	firm: spec.firm,
	deployment: spec.deployment,
	service: 'proofer',
	address: '127.0.0.1:9',
	zone: entry.zone,
	kind: 'engine',
	state: 'serving',
	models: [],
	capacity: 1,
	load: {running: 0, queued: 0, ageMs: 0},
	resumes: false,
};

async function announce(body: string, key: string): Promise<number> {
	const res = await request(url('/v1/announcements'), {method: 'POST', headers: {authorization: `Bearer ${key}`}, body});
	await res.body.dump();
	return res.statusCode;
}

async function isListed(id: string): Promise<boolean> {
	const {targets} = await launcher.get(entry.node, '/v1/targets') as {targets: Array<{targetId: string}>};
	return targets.some(({targetId}) => targetId === id);
}

test('an announcement without the target key of its service is refused', async t => {
	t.is(await announce(JSON.stringify(stranger), 'wrong'), 403);
	t.false(await isListed('stranger'));
});

test('an entry ends, or lists a target that it cannot use, after an odd announcement', async t => {
	const nesting = 4_000_000;
	const oddFields = {
		address: '127.0.0.1:65536', capacity: 1e308, sequence: 2 ** 60, incarnation: -1, tokensPerSecond: '1e999',
	};
	for (const [field, value] of Object.entries(oddFields)) {
		t.is(await announce(JSON.stringify({...stranger, targetId: 'odd', [field]: value}), spec.targetKey), 400, `${field} of the announcement`); // eslint-disable-line no-await-in-loop
	}

	t.is(await announce(`{"models":${'['.repeat(nesting)}${']'.repeat(nesting)}}`, spec.targetKey), 413);
	await delay(probeTimeMs);
	t.false(await isListed('odd'));
});

test('a forwarded request without the peer key is refused', async t => {
	const {problem} = await postCompletion(validBody, undefined, {
		'lovageferry-forwarded-by': 'saskatoon-1;saskatoon-a;1;claimed', 'lovageferry-forward-token': '1.guess',
	});
	t.like(problem, {code: 1001, ran: 'no'});
});

// Guards against refusals that the entry that forwarded the request can't tell from those of earlier requests, or from answers of services.
test('a refusal of an entry names no attempt, or does not say whether it ran', async t => {
	const res = await request(url('/v1/chat/completions'), {method: 'POST', headers: {'lovageferry-attempt': 'attempt-1'}, body: validBody});
	await res.body.dump();
	t.like(res.headers, {'lovageferry-attempt': 'attempt-1', 'lovageferry-ran': 'no'});
});

test('a connection whose headers never end is closed within 45 seconds', async t => {
	const [host, port] = launcher.address(entry.node).split(':');
	const socket = connect(Number(port), host);
	socket.write('POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n');
	const closed = new Promise<boolean>(resolve => {
		socket.on('close', () => {
			resolve(true);
		});
		socket.on('data', () => undefined);
		setTimeout(resolve, 45_000, false);
	});
	t.true(await closed);
});

test('metrics count refusals by reason', async t => {
	await postCompletion(validBody, 'wrong');
	const text = await launcher.get(entry.node, '/metrics') as string;
	t.regex(text, /lovageferry_refusals_total\{reason="unauthenticated"\} \d+/v);
});
