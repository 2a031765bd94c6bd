import {Buffer} from 'node:buffer';
import test from 'ava';
import {platformRequestCodec} from '../../platform/platform-request-codec.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import {digestOf} from '../fixtures/digest-of.ts';

const options = {deadlineMs: 1500, targetId: toId<never>('i-7'), urgency: 3};

function headOf(rawHeaders: readonly string[]) {
	return platformRequestCodec.readRequest({method: 'POST', url: '/lohu930/2f?x=1', rawHeaders});
}

function pairs(headers: readonly string[]): ReadonlyArray<readonly [string, string]> {
	return Array.from({length: headers.length / 2}, (_, index) => [headers[2 * index]!.toLowerCase(), headers[(2 * index) + 1]!] as const);
}

test('readRequest reads the platform\'s headers of a request', t => {
	const head = headOf([
		'Host',
		'ficu95.example',
		'Request-Identifier',
		'abc',
		'Deadline-Milliseconds',
		'12000',
		'Token-Counts',
		'1460,80',
		'Prompt-Prefix',
		'5c1e07a2:800,91bd3f06:410,e4402b7d:250',
		'Last-Event-Id',
		'12',
	]);
	t.like(head, {
		host: 'ficu95.example', key: 'abc', budgetMs: 12_000, resumeAfter: '12', path: '/lohu930/2f?x=1',
	});
	t.deepEqual(head.prompt, {
		promptTokens: 1460, outputTokens: 80, parts: [{id: '5c1e07a2', tokens: 800}, {id: '91bd3f06', tokens: 410}, {id: 'e4402b7d', tokens: 250}],
	});
});

// Guards against a valid key that gets 401: the last byte of "à" in UTF-8 is a no-break space as Latin-1.
test('a key is read whole, whatever bytes its last letter has in UTF-8', t => {
	for (const key of ['k-1', 'voilà', 'k Р']) {
		const value = Buffer.from(`Token  ${key}`, 'utf8').toString('latin1');
		t.is(headOf(['Authorization', value]).keyDigest, digestOf(key));
	}
});

test('invalid or missing header values are ignored', t => {
	const head = headOf(['Deadline-Milliseconds', 'soon', 'Token-Counts', 'many', 'Prompt-Prefix', ':::,zz:1']);
	t.is(head.budgetMs, undefined);
	t.is(head.prompt, undefined);
	t.is(head.key, '');
});

test('reserved and hop-by-hop headers of a caller do not reach a target', t => {
	const kept = ['Model', 'm', 'X-Custom', '1', 'x-custom', '2'];
	const dropped = [
		'Hold',
		'h',
		'pin-milliseconds',
		'900',
		'Cache-Backup',
		'10.0.0.1:80',
		'KV-FROM',
		'x',
		'Kv-Fetch',
		'x',
		'Request-Priority',
		'0',
		'Expected-Instance',
		'i-0',
		'Expected-Version',
		'9',
		'Lovageferry-Relayed',
		'x;1',
		'Connection',
		'keep-alive, X-Hop',
		'X-Hop',
		'1',
		'Transfer-Encoding',
		'chunked',
		'Content-Length',
		'5',
		'Expect',
		'100-continue',
		'Keep-Alive',
		'5',
		'TE',
		'x',
		'Upgrade',
		'x',
	];
	const headers = pairs(platformRequestCodec.outgoingHeaders(headOf([...dropped, ...kept]), options));
	t.deepEqual(headers, [['model', 'm'], ['x-custom', '1'], ['x-custom', '2'], ['deadline-milliseconds', '1500'], ['expected-instance', 'i-7']]);
});

test('the request that resumes a stream has exactly one Last-Event-Id', t => {
	const head = headOf(['Last-Event-Id', '4', 'Token-Counts', '10,10']);
	const headers = pairs(platformRequestCodec.outgoingHeaders(head, {...options, resumeAfter: '9'}));
	t.deepEqual(headers.filter(([name]) => name === 'last-event-id'), [['last-event-id', '9']]);
	t.deepEqual(headers.filter(([name]) => name === 'request-priority'), [['request-priority', '3']]);
});

test('readAnswer reads how many rejections a brittle target stands, and none where the value is not a number', t => {
	const rejections = (value: string) => platformRequestCodec.readAnswer(200, ['Server-Brittle', value]).head.rejectionsPerSecond;
	t.deepEqual([rejections('4'), rejections('0'), rejections('2.5'), rejections('-1'), rejections('few'), rejections('')], [4, 0, 2.5, undefined, undefined, undefined]);
});

test('readAnswer reads a target\'s limit as a decimal number, and none where the value is not one', t => {
	const limit = (value: string) => platformRequestCodec.readAnswer(200, ['Server-Limit', value]).head.limitPerSecond;
	t.deepEqual([limit('1.8'), limit('12'), limit('0'), limit('-1'), limit('many'), limit('')], [1.8, 12, 0, undefined, undefined, undefined]);
});

test('readAnswer reads the platform\'s headers of an answer; the caller gets no hop-by-hop headers', t => {
	const raw = ['Request-Identifier', 'abc', 'Server-Signature', '3e1b', 'Server-Load', '3,1,8', 'Retry-After', '0.5', 'Connection', 'close', 'Content-Length', '7', 'X-Engine', 'yes'];
	const {head, key} = platformRequestCodec.readAnswer(200, raw);
	t.is(key, 'abc');
	t.like(head, {
		status: 200, signed: true, notRun: false, load: {running: 3, waiting: 1, slots: 8}, retryAfterMs: 500,
	});
	t.deepEqual(platformRequestCodec.callerHeaders(raw), ['Request-Identifier', 'abc', 'Server-Signature', '3e1b', 'Retry-After', '0.5', 'X-Engine', 'yes']);
	t.true(platformRequestCodec.readAnswer(503, ['Not-Executed', '1']).head.notRun);
	t.is(platformRequestCodec.readAnswer(200, ['Server-Load', 'odd']).head.load, undefined);
});

test('readAnswer reads the load of a target with and without its speed; a load that cannot be read is told, so that it is counted', t => {
	const head = (value: string) => platformRequestCodec.readAnswer(200, ['Server-Load', value]).head;
	t.deepEqual(head('3,1,8,250').load, {
		running: 3, waiting: 1, slots: 8, slowdown: 2.5,
	});
	t.deepEqual(head('3,1,8').load, {running: 3, waiting: 1, slots: 8});
	t.is(head('3,1,8').hasUnreadableLoad, undefined);
	for (const value of ['odd', '-3,1,8', '3,,8', '3,1', '1e999,0,8', '']) {
		t.is(head(value).load, undefined, `load ${value}`);
		t.true(head(value).hasUnreadableLoad, `load ${value}`);
	}

	t.is(head('3,1,8,fast').load?.slowdown, Number.NaN);
});

test('readAnswer reads that a target leaves, and the pause it asks for; a header with another value, or given twice, counts as unreadable', t => {
	const head = (...raw: string[]) => platformRequestCodec.readAnswer(503, raw).head;
	t.like(head('Server-Leaving', '1'), {leaving: true, unreadableHeaders: undefined});
	t.like(head(), {leaving: false, retryAfterMs: undefined, unreadableHeaders: undefined});
	t.is(head('Retry-After', '3').retryAfterMs, 3000);
	t.is(head('Retry-After', '0.25').retryAfterMs, 250);
	for (const value of ['-1', 'NaN', '1e12', 'Infinity', 'soon', '', 'Fri, 04 Dec 2026 18:00:00 GMT']) {
		t.like(head('Retry-After', value), {retryAfterMs: undefined, unreadableHeaders: ['retry-after']}, `value ${value}`);
	}

	t.like(head('Retry-After', '3', 'retry-after', '3'), {retryAfterMs: undefined, unreadableHeaders: ['retry-after']});
	t.like(head('Server-Leaving', 'yes', 'Retry-After', '1'), {leaving: false, retryAfterMs: 1000, unreadableHeaders: ['server-leaving']});
	t.like(head('Server-Leaving', '1', 'Server-Leaving', '1'), {leaving: false, unreadableHeaders: ['server-leaving']});
});

test('numbers of tokens that are no counts are not taken', t => {
	const read = (counts: string, parts = 'aa:10,bb:5') => platformRequestCodec.readRequest({
		method: 'POST', url: '/', rawHeaders: ['Token-Counts', counts, 'Prompt-Prefix', parts],
	}).prompt;
	for (const counts of ['1e400,8', '8,1e400', 'Infinity,8', '-1,8', 'NaN,8', '1e300,8', '8', '']) {
		t.is(read(counts), undefined);
	}

	t.deepEqual(read('100,8', `aa:10,bb:${'9'.repeat(400)},cc:5`)!.parts.map(({tokens}) => tokens), [10, 5]);
});
