import {setTimeout as sleep} from 'node:timers/promises';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import test, {type ExecutionContext} from 'ava';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

async function start(t: ExecutionContext, options: Parameters<typeof RoutesDeployment.start>[0]): Promise<RoutesDeployment> {
	const deployment = await RoutesDeployment.start(options);
	t.teardown(async () => deployment.close());
	return deployment;
}

const streamHeaders = {'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm'};

test('request and answer pass through unchanged, apart from headers that the gateway sets or removes', async t => {
	const deployment = await start(t, {desk: ['d1']});
	const [engine] = deployment.desk;
	const res = await deployment.call({path: '/calls/7?x=%20y', headers: {'x-own': '1', hold: 'mine'}, body: 'artwork'});
	t.is(res.statusCode, 200);
	t.is(await res.body.text(), 'answer of d1');
	t.is(res.headers['server-signature'], 'd1.sig');
	t.is(res.headers['server-load'], undefined);
	const [seen] = engine!.receivedRequests;
	t.like(seen, {method: 'POST', path: '/calls/7?x=%20y', body: 'artwork'});
	t.is(seen!.headers['x-own'], '1');
	t.is(seen!.headers.hold, undefined);
	t.is(seen!.headers['expected-instance'], 'd1');
	t.true(Number(seen!.headers['deadline-milliseconds']) <= 3000);
});

test('a request that the target did not run is refused with status 503 and Retry-After', async t => {
	const deployment = await start(t, {desk: ['d1']});
	deployment.desk[0]!.manner = 'full';
	const res = await deployment.call({path: '/orders/1', body: 'order'});
	t.is(res.statusCode, 503);
	t.true(Number(res.headers['retry-after']) > 0);
	t.is(res.headers['server-signature'], undefined);
	t.is(deployment.desk[0]!.receivedRequests.length, 1);
	await res.body.dump();
});

test('an unsafe request whose connection was reset is not retried and gets status 502', async t => {
	const deployment = await start(t, {desk: ['d1', 'd2']});
	for (const engine of deployment.desk) {
		engine.manner = 'reset';
	}

	const res = await deployment.call({path: '/orders/1', body: 'order'});
	t.is(res.statusCode, 502);
	t.is(deployment.desk.reduce((sum, engine) => sum + engine.receivedRequests.length, 0), 1);
	await res.body.dump();
});

test('a safe request whose connection was reset is retried at another target', async t => {
	const deployment = await start(t, {desk: ['d1', 'd2']});
	for (let round = 0; round < 6; round++) {
		deployment.desk[0]!.manner = 'reset';
		const res = await deployment.call(); // eslint-disable-line no-await-in-loop
		t.is(await res.body.text(), 'answer of d2'); // eslint-disable-line no-await-in-loop
	}
});

test('an answer that belongs to another request, or that is not signed, never reaches the caller', async t => {
	const deployment = await start(t, {desk: ['d1']});
	for (const manner of ['foreign', 'unsigned'] as const) {
		deployment.desk[0]!.manner = manner;
		const res = await deployment.call({path: '/orders/1'}); // eslint-disable-line no-await-in-loop
		t.is(res.statusCode, 502, manner);
		const text = await res.body.text(); // eslint-disable-line no-await-in-loop
		t.false(text.includes('answer'), manner);
	}
});

test('a truncated stream is resumed at another engine without lost or repeated events', async t => {
	const deployment = await start(t, {writers: ['w1', 'w2']});
	deployment.writers[0]!.manner = 'cut';
	deployment.writers[1]!.manner = 'cut';
	const broken = await deployment.call({path: '/drafts/1', headers: streamHeaders});
	await t.throwsAsync(broken.body.text());
	// An engine whose connection broke is not used until its next report. Both must be in use again before one of them breaks off, so that the other can resume.
	for (const engine of deployment.writers) {
		engine.manner = 'well';
	}

	const signatures = new Set<unknown>();
	let calls = 0;
	const areBothUsed = async () => {
		// Each shared part of a prompt has an engine that it prefers.
		calls += 1;
		const res = await deployment.call({path: '/drafts/1', headers: {...streamHeaders, 'prompt-prefix': `c${calls}:60,b2:40`}});
		await res.body.dump();
		signatures.add(res.headers['server-signature']);
		return ['w1.sig', 'w2.sig'].every(signature => signatures.has(signature));
	};

	t.true(await deployment.waitUntil(areBothUsed));
	// No stream goes on at an engine whose connection was reset before it has reported twice more, which the entry learns with its next feed.
	await deployment.waitForReports(4);
	deployment.writers[0]!.manner = 'cut';
	const resumed = await deployment.waitUntil(async () => {
		const res = await deployment.call({path: '/drafts/1', headers: streamHeaders});
		const text = await res.body.text();
		if (res.statusCode === 200) {
			t.deepEqual([...text.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])), [1, 2, 3, 4, 5, 6]);
			t.false(text.includes('half'));
		}

		return res.headers['server-signature'] === 'w1.sig';
	});
	t.true(resumed);
	t.true(deployment.writers[1]!.receivedRequests.some(({headers}) => headers['last-event-id'] === '2'));
});

for (const unframed of [true, false]) {
	test(`a stream that ends inside an event, ${unframed ? 'with its connection' : 'framed as complete'}, is resumed and never passed on as complete`, async t => {
		const deployment = await start(t, {writers: ['w1', 'w2']});
		for (const engine of deployment.writers) {
			engine.unframed = unframed;
		}

		deployment.writers[0]!.manner = 'short';
		const resumed = await deployment.waitUntil(async () => {
			const res = await deployment.call({path: '/drafts/1', headers: streamHeaders});
			const text = await res.body.text();
			t.deepEqual([...text.matchAll(/^data: (.*)$/gmv)].map(match => match[1]), ['piece 1', 'piece 2', 'piece 3', 'piece 4', 'piece 5', 'piece 6']);
			return res.headers['server-signature'] === 'w1.sig';
		});
		t.true(resumed);
		t.true(deployment.writers[1]!.receivedRequests.some(({headers}) => headers['last-event-id'] === '2'));
	});
}

test('a stream that ends inside an event at every engine breaks off for its caller', async t => {
	const deployment = await start(t, {writers: ['w1']});
	deployment.writers[0]!.manner = 'short';
	deployment.writers[0]!.unframed = true;
	const res = await deployment.call({path: '/drafts/1', headers: streamHeaders});
	await t.throwsAsync(res.body.text());
});

test('a stream that breaks off at one software version is not continued at another', async t => {
	const deployment = await start(t, {writers: ['w1', 'w2']});
	const [older, newer] = deployment.writers;
	newer!.softwareVersion = 'v2';
	older!.manner = 'cut';
	// Later calls find the engine suspended until its next report, so the first one that reaches it decides.
	const isBroken = async () => {
		const res = await deployment.call({path: '/drafts/1', headers: streamHeaders});
		const isOlder = res.headers['server-signature'] === 'w1.sig';
		await (isOlder ? t.throwsAsync(res.body.text()) : res.body.dump());
		return isOlder;
	};

	await sleep(1000);
	t.true(await deployment.waitUntil(isBroken));
	t.false(newer!.receivedRequests.some(({headers}) => headers['last-event-id'] !== undefined));
});

test('a caller that takes up a stream gets it from the software version that began it, also at an entry that has restarted', async t => {
	const deployment = await start(t, {writers: ['w1', 'w2']});
	const [older, newer] = deployment.writers;
	newer!.softwareVersion = 'v2';
	await sleep(1000);
	const began = new Map<string, string>();
	const isBegunAtBoth = async () => {
		// Each shared part of a prompt has an engine that it prefers.
		const id = `began-${began.size}`;
		const res = await deployment.call({path: '/drafts/1', headers: {...streamHeaders, 'prompt-prefix': `a${began.size}:60,b2:40`, 'request-identifier': id}});
		await res.body.dump();
		if (res.statusCode === 200) {
			began.set(id, String(res.headers['server-signature']));
		}

		return new Set(began.values()).size === 2;
	};

	t.true(await deployment.waitUntil(isBegunAtBoth));
	for (const restarted of [false, true]) {
		if (restarted) {
			await sleep(500); // eslint-disable-line no-await-in-loop
			await deployment.restartEntry(); // eslint-disable-line no-await-in-loop
		}

		for (const [id, signature] of began) {
			const resumed = async () => {
				const res = await deployment.call({path: '/drafts/1', headers: {...streamHeaders, resumes: id, 'last-event-id': '2'}});
				await res.body.dump();
				if (res.statusCode === 200) {
					t.is(res.headers['server-signature'], signature);
				}

				return res.statusCode === 200;
			};

			t.true(await deployment.waitUntil(resumed)); // eslint-disable-line no-await-in-loop
		}
	}

	for (const engine of [older!, newer!]) {
		t.true(engine.receivedRequests.every(({headers: {resumes}}) => resumes === undefined || began.get(String(resumes)) === `${engine.identifier}.sig`));
	}
});

test('a stream that breaks off is reset for a caller of HTTP/1.0, whose answers have no chunks', async t => {
	const deployment = await start(t, {writers: ['w1']});
	deployment.writers[0]!.manner = 'cut';
	const head = Object.entries({
		...streamHeaders, host: 'prairie.example', 'request-identifier': 'old', 'deadline-milliseconds': '4000', 'content-length': '0',
	}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	await t.throwsAsync(deployment.callRaw(`POST /drafts/1 HTTP/1.0\r\n${head}\r\n`), {code: 'ECONNRESET'});
	await sleep(1000);
	deployment.writers[0]!.manner = 'well';
	t.regex(await deployment.callRaw(`POST /drafts/1 HTTP/1.0\r\n${head}\r\n`), /data: piece 6\nversion: v1\n\n$/v);
});

test('a JSON answer that its connection cuts short is retried if the call is safe', async t => {
	const deployment = await start(t, {desk: ['d1', 'd2']});
	const [short, whole] = deployment.desk;
	short!.unframed = true;
	short!.manner = 'short';
	// Slower than a target is expected to be before its first answer, so that calls go to the other one.
	whole!.workMs = 100;
	let calls = 0;
	const isRetried = async () => {
		calls += 1;
		const id = `call-${calls}`;
		const res = await deployment.call({headers: {'request-identifier': id}});
		const text = await res.body.text();
		const [shortAt, wholeAt] = [short!, whole!].map(({receivedRequests}) => receivedRequests.find(({headers}) => headers['request-identifier'] === id)?.receivedAt);
		// In a busy process the other engine may stall; the short answer is then the last one that the route allows.
		if (shortAt !== undefined && wholeAt !== undefined && wholeAt < shortAt) {
			t.is(res.statusCode, 502);
			return false;
		}

		t.is(text, 'answer of d2');
		return shortAt !== undefined;
	};

	t.true(await deployment.waitUntil(isRetried));
});

test('a target that refuses connections gets no request, though it reports, until it accepts one again', async t => {
	const deployment = await start(t, {desk: ['d1', 'd2']});
	const [lost, whole] = deployment.desk;
	whole!.workMs = 100;
	await lost!.close();
	for (let round = 0; round < 20; round++) {
		const res = await deployment.call({path: '/orders/1', body: 'order'}); // eslint-disable-line no-await-in-loop
		t.is(await res.body.text(), 'answer of d2'); // eslint-disable-line no-await-in-loop
	}

	await lost!.listen();
	const isUsed = async () => {
		const res = await deployment.call();
		await res.body.dump();
		return lost!.receivedRequests.length > 0;
	};

	t.true(await deployment.waitUntil(isUsed));
});

test('a JSON answer that its connection cuts short fails a request that must not be retried', async t => {
	const deployment = await start(t, {desk: ['d1']});
	const [short] = deployment.desk;
	short!.unframed = true;
	short!.manner = 'short';
	const res = await deployment.call({path: '/orders/1'});
	t.is(res.statusCode, 502);
	await res.body.dump();
});

test('a complete stream whose lines end with CRLF is passed on as complete', async t => {
	const deployment = await start(t, {writers: ['w1']});
	deployment.writers[0]!.lineBreak = '\r\n';
	deployment.writers[0]!.unframed = true;
	const res = await deployment.call({path: '/drafts/1', headers: streamHeaders});
	const text = await res.body.text();
	t.deepEqual([...text.matchAll(/^id: (\d+)\r$/gmv)].map(match => Number(match[1])), [1, 2, 3, 4, 5, 6]);
});

test('a request is aborted at its target once the caller disconnects', async t => {
	const deployment = await start(t, {desk: ['d1']});
	deployment.desk[0]!.manner = 'silent';
	const abort = new AbortController();
	const call = deployment.call({path: '/orders/1', signal: abort.signal});
	t.true(await deployment.waitUntil(() => deployment.desk[0]!.receivedRequests.length === 1));
	abort.abort();
	await t.throwsAsync(call, {any: true});
	await sleep(300);
	t.is(deployment.desk[0]!.abortedRequests, 1);
});

test('an unsafe request is not sent on an idle connection that its target may have dropped', async t => {
	const deployment = await start(t, {desk: ['d1']});
	deployment.desk[0]!.resetAfterIdleMs = 300;
	for (let order = 0; order < 3; order++) {
		const res = await deployment.call({path: '/orders/1'}); // eslint-disable-line no-await-in-loop
		t.is(res.statusCode, 200);
		await res.body.dump(); // eslint-disable-line no-await-in-loop
		await sleep(400); // eslint-disable-line no-await-in-loop
	}
});

test('a request that exceeds the limits of the configuration is refused and reaches no target', async t => {
	const deployment = await start(t, {desk: ['d1']});
	const headers = await deployment.call({path: '/calls/1', headers: {long: 'x'.repeat(16_500)}});
	t.is(headers.statusCode, 431);
	t.like(await headers.body.json(), {ran: 'no'});
	const body = await deployment.call({method: 'POST', path: '/calls/1', body: 'x'.repeat(100_001)});
	t.is(body.statusCode, 413);
	await body.body.dump();
	t.is(deployment.desk[0]!.receivedRequests.length, 0);
});

test('a request gets status 504 at the timeout of its route', async t => {
	const deployment = await start(t, {desk: ['d1']});
	deployment.desk[0]!.manner = 'silent';
	const loopDelay = monitorEventLoopDelay({resolution: 5});
	loopDelay.enable();
	const before = performance.now();
	const res = await deployment.call({path: '/orders/1', headers: {'deadline-milliseconds': '9000'}});
	t.is(res.statusCode, 504);
	// All processes of the deployment run in this one, so the longest event loop delay is not counted as theirs.
	const elapsedMs = performance.now() - before - (loopDelay.max / 1e6);
	loopDelay.disable();
	t.true(elapsedMs < 3500);
	await res.body.dump();
});

test('the configuration with the highest version is kept and read back unchanged; invalid ones are refused', async t => {
	const deployment = await start(t, {desk: ['d1']});
	const third = platformConfiguration(3);
	t.is(await deployment.statusOf('PUT', '/configuration', third), 200);
	t.is(await deployment.statusOf('PUT', '/configuration', platformConfiguration(2)), 200);
	t.is(await deployment.statusOf('PUT', '/configuration', third.slice(0, -9)), 400);
	const {status, body} = await deployment.callControl('GET', '/configuration');
	t.is(status, 200);
	t.is(body, third);
	t.is(await deployment.statusOf('GET', '/elsewhere'), 404);
});

test('a withdrawn or evacuated target gets no requests, and an invalid report is refused', async t => {
	const deployment = await start(t, {desk: ['d1']});
	t.is(await deployment.statusOf('PUT', '/instances/odd', '{"service":"desk"'), 400);
	t.is(await deployment.statusOf('POST', '/evacuations/regina-a'), 200);
	const refused = async () => {
		const res = await deployment.call();
		await res.body.dump();
		return res.statusCode === 503;
	};

	t.true(await deployment.waitUntil(refused));
	t.is(await deployment.statusOf('DELETE', '/evacuations/regina-a'), 200);
	t.true(await deployment.waitUntil(async () => !await refused()));
	await deployment.stopReports();
	t.is(await deployment.statusOf('DELETE', '/instances/d1'), 200);
	t.true(await deployment.waitUntil(refused));
});

test('a request without a matching route gets status 404, and the directory lists the entry', async t => {
	const deployment = await start(t, {desk: ['d1']});
	const res = await deployment.call({path: '/nowhere/1'});
	t.is(res.statusCode, 404);
	await res.body.dump();
	const {status, body} = await deployment.resolve();
	t.is(status, 200);
	t.is((JSON.parse(body) as {addresses: string[]}).addresses.length, 1);
});

test('a stopping entry leaves the directory and completes requests in flight', async t => {
	const deployment = await start(t, {writers: ['w1']});
	deployment.writers[0]!.manner = 'silent';
	const call = deployment.call({path: '/drafts/1', headers: streamHeaders});
	t.true(await deployment.waitUntil(() => deployment.writers[0]!.receivedRequests.length === 1));
	const stopped = deployment.stopEntry();
	t.true(await deployment.waitUntil(async () => {
		const {status} = await deployment.resolve();
		return status === 503;
	}));
	const res = await call;
	t.is(res.statusCode, 504);
	await res.body.dump();
	await stopped;
});
