import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {answerToken} from './answer-token.ts';
import {promptDigest} from './prompt-digest.ts';
import {extractPrompt} from './extract-prompt.ts';
import type {RunLogLine} from './run-log-line.ts';

async function freePort(): Promise<number> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	return port;
}

async function startTarget(kind: 'engine' | 'service', extra: readonly string[] = []) {
	const port = await freePort();
	const runLog = path.join(mkdtempSync(path.join(tmpdir(), 'fake-')), 'run.jsonl');
	const args = [
		'--import',
		'tsx',
		`test/fakes/${kind}.ts`,
		'--port',
		String(port),
		'--id',
		`${kind}-1`,
		'--zone',
		'regina-a-1',
		'--firm',
		'prairie',
		'--deployment',
		'print',
		'--service',
		'proofer',
		'--announce-to',
		'127.0.0.1:9',
		'--key',
		'k',
		'--run-log',
		runLog,
		'--leave-ms',
		'100',
		...extra,
	];
	const child = spawn(process.execPath, args, {stdio: 'inherit'});
	const lines = () => readFileSync(runLog, 'utf8').trim().split('\n').map(line => JSON.parse(line) as RunLogLine);
	for (let attempt = 0; attempt < 100; attempt++) {
		try {
			lines();
			break;
		} catch {
			await delay(50); // eslint-disable-line no-await-in-loop
		}
	}

	return {child, origin: `http://127.0.0.1:${port}`, lines};
}

function expected(messages: ReadonlyArray<{role: string; content: string}>, tokens: number): string {
	const digest = promptDigest(extractPrompt({messages}));
	return Array.from({length: tokens}, (_, index) => answerToken(digest, index)).join('');
}

test('an engine resumes a partial answer within a token and completes it exactly', async t => {
	const {child, origin, lines} = await startTarget('engine');
	const messages = [{role: 'user', content: 'check the ballot notice'}];
	const whole = expected(messages, 10);
	const given = whole.slice(0, 40);
	const response = await request(`${origin}/v1/chat/completions`, {
		method: 'POST',
		body: JSON.stringify({messages: [...messages, {role: 'assistant', content: given}], continue_final_message: true, max_tokens: 8}),
	});
	const answer = await response.body.json() as {choices: Array<{message: {content: string}}>};
	t.true((given + answer.choices[0]!.message.content).startsWith(whole));
	t.deepEqual(lines().map(line => line.event), ['up', 'start', 'whole']);
	child.kill('SIGTERM');
	const [code] = await once(child, 'exit') as [number];
	t.is(code, 0);
});

test('a service counts the runs of an idempotency key', async t => {
	const {child, origin} = await startTarget('service');
	const call = async () => {
		const response = await request(`${origin}/s/pressdesk/orders`, {method: 'POST', headers: {'idempotency-key': 'order-1'}, body: 'banner'});
		return response.body.json() as Promise<{runs: number}>;
	};

	const first = await call();
	const second = await call();
	t.is(first.runs, 1);
	t.is(second.runs, 2);
	const status = await request(`${origin}/s/pressdesk/status/order-1`);
	t.like(await status.body.json(), {runs: 2});
	child.kill('SIGKILL');
});

test('an engine kills its process on a prompt that contains the crash text', async t => {
	const {child, origin, lines} = await startTarget('engine', ['--crash-on', 'folded corner']);
	await t.throwsAsync(async () => {
		const response = await request(`${origin}/v1/chat/completions`, {
			method: 'POST',
			body: JSON.stringify({messages: [{role: 'user', content: 'a folded corner'}], stream: true}),
		});
		await response.body.text();
	});
	t.is(lines().at(-1)?.event, 'crash');
	t.true(child.exitCode !== null || child.signalCode !== null || await once(child, 'exit') !== null);
});
