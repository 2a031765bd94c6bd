import {execFile} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import {exitCodes} from '../../src/commands/exit-codes.ts';
import {bundle} from '../harness/bundle.ts';

const commandTimeoutMs = 40_000;
const key = 'operator-secret-1';
let program: string;
let folder: string;

test.before(async () => {
	program = await bundle('platform/main.ts');
	folder = mkdtempSync(path.join(tmpdir(), 'check-document-'));
});

type Changes = {readonly version?: number; readonly timeout?: number; readonly service?: string; readonly host?: string};

/** Text of a document in the platform's format. */
function documentText({version = 1, timeout = 3000, service = 'desk', host = 'prairie.example'}: Changes = {}): string {
	return JSON.stringify({
		version,
		routes: [{
			name: 'orders', host, 'path-prefix': '/orders/', kind: 'safe', 'timeout-ms': timeout, 'target-latency-ms': 400, attempts: 2, service,
		}],
		services: [{name: 'desk'}],
		tenants: [{name: 'city', 'access-keys': [key]}],
	});
}

function file(name: string, text: string): string {
	const full = path.join(folder, name);
	writeFileSync(full, text);
	return full;
}

async function check(...args: string[]): Promise<{code: number; stdout: string; stderr: string}> {
	return new Promise(resolve => {
		execFile(process.execPath, [program, 'check', ...args], {timeout: commandTimeoutMs}, (error, stdout, stderr) => {
			resolve({code: error ? Number(error.code ?? -1) : 0, stdout, stderr});
		});
	});
}

test('a valid document is said to be valid', async t => {
	const result = await check(file('valid.json', documentText()));
	t.is(result.code, exitCodes.ok);
	t.regex(result.stdout, /valid\.json: valid/v);
});

test('an error, an entry without effect and a broken text have exit codes of their own', async t => {
	const wrong = await check(file('wrong.json', documentText({service: 'gone'})));
	t.is(wrong.code, exitCodes.usage);
	t.regex(wrong.stdout, /error: route orders: service gone is not in the document/v);

	const unreachable = await check(file('port.json', documentText({host: 'prairie.example:8080'})));
	t.is(unreachable.code, exitCodes.findings);
	t.regex(unreachable.stdout, /unreachable: route orders/v);

	const broken = await check(file('broken.json', documentText().slice(0, -3)), '--json');
	t.is(broken.code, exitCodes.usage);
	t.is((JSON.parse(broken.stdout) as {findings: Array<{kind: string}>}).findings[0]?.kind, 'error');
	t.false(broken.stdout.includes(key));
});

test('the document in force is read from a control node, and the difference names no key', async t => {
	const control = createServer((req, res) => {
		res.writeHead(req.url === '/configuration' ? 200 : 404).end(documentText());
	}).listen(0, '127.0.0.1');
	await once(control, 'listening');
	const {port} = control.address() as AddressInfo;
	const result = await check(file('next.json', documentText({version: 2, timeout: 4000}).replace(key, 'operator-secret-2')), '--against', `127.0.0.1:${port}`);
	control.close();
	t.is(result.code, exitCodes.ok);
	t.regex(result.stdout, /timeoutMs changes from 3000 to 4000/v);
	t.regex(result.stdout, /organisation city: 1 keys are added and 1 removed/v);
	t.false(result.stdout.includes('operator-secret'));
});

test('a control node without an answer is named with a remedy', async t => {
	const control = createServer((_req, res) => {
		res.writeHead(503).end();
	}).listen(0, '127.0.0.1');
	await once(control, 'listening');
	const {port} = control.address() as AddressInfo;
	const result = await check(file('some.json', documentText({version: 2})), '--against', `127.0.0.1:${port}`);
	control.close();
	t.is(result.code, exitCodes.unavailable);
	t.regex(result.stderr, /could not be read \(status 503\): try another control node/v);
});
