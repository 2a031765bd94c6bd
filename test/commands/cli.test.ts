import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {chmodSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import {request} from 'undici';
import {exitCodes} from '../../src/commands/exit-codes.ts';
import {sendAndLeave} from '../fixtures/send-and-leave.ts';
import {bundle} from '../harness/bundle.ts';
import {Launcher} from '../harness/launcher.ts';
import {makeInstallationSpec} from '../harness/make-installation-spec.ts';

type Result = {readonly code: number; readonly stdout: string; readonly stderr: string};

const commandTimeoutMs = 40_000;
const service = 'prairie/print/proofer';
const spec = makeInstallationSpec({
	entriesPerRegion: 1, engines: 0, services: 0, proxies: false,
});
const [first, second] = spec.nodes.map(node => node.node) as [string, string];
let launcher: Launcher;
let program: string;

test.before(async () => {
	program = await bundle('src/cli.ts');
	launcher = await Launcher.create(spec);
	await launcher.start();
	writeFileSync(file('operator.key'), 'test-operator-key\n', {mode: 0o600});
});

test.after.always(async () => {
	await launcher.dispose({keepFolder: false});
});

function file(name: string): string {
	return path.join(launcher.folder, name);
}

/** Runs the command line in a separate process. */
async function cli(...args: string[]): Promise<Result> {
	return new Promise(resolve => {
		execFile(process.execPath, [program, ...args], {timeout: commandTimeoutMs}, (error, stdout, stderr) => {
			resolve({code: error ? Number(error.code ?? -1) : 0, stdout, stderr});
		});
	});
}

/** Runs the command line against one entry, with the operator key. */
async function runAt(node: string, ...args: string[]): Promise<Result> {
	return cli(...args, '--entry', launcher.address(node), '--key-file', file('operator.key'));
}

async function json<Value>(node: string, ...args: string[]): Promise<Value> {
	const {stdout} = await runAt(node, ...args, '--json');
	return JSON.parse(stdout) as Value;
}

async function freePort(): Promise<number> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	return port;
}

async function nextNumber(): Promise<string> {
	const {revision} = await json<{revision: number}>(first, 'tree', 'show');
	return String(revision + 1);
}

test.serial('tree set, show, unset, apply and history see each other\'s changes', async t => {
	const set = await runAt(first, 'tree', 'set', service, 'deadlineMs', '21000');
	t.is(set.code, exitCodes.ok);
	t.regex(set.stdout, /^accepted as revision \d+\n$/v);
	const shown = await runAt(second, 'tree', 'show', service);
	t.regex(shown.stdout, /deadlineMs: 21000/v);
	t.like(await runAt(first, 'tree', 'unset', service, 'deadlineMs'), {code: exitCodes.ok});
	const unset = await runAt(first, 'tree', 'show', service);
	t.notRegex(unset.stdout, /deadlineMs/v);

	writeFileSync(file('tree.yaml'), `${service}: {deadlineMs: 22000}\n`);
	const applied = await runAt(first, 'tree', 'apply', file('tree.yaml'));
	t.is(applied.code, exitCodes.ok);
	const again = await runAt(first, 'tree', 'apply', file('tree.yaml'));
	t.regex(again.stdout, /has all of/v);
	const {history} = await json<{history: Array<{revision: number; change: {operator: string}}>}>(first, 'tree', 'history');
	t.is(history.length, 4);
	t.is(history[0]!.change.operator, 'tester');
});

test.serial('of two changes with the same number one is accepted, and the other is refused with the id of the first', async t => {
	const number = await nextNumber();
	const race = async (node: string, changeId: string, value: string) => runAt(node, 'tree', 'set', service, 'deadlineMs', value, '--number', number, '--change-id', changeId);
	const results = await Promise.all([race(first, 'race-a', '23000'), race(second, 'race-b', '24000')]);
	const codes = results.map(({code}) => code);
	t.deepEqual(codes.toSorted((left, right) => left - right), [exitCodes.ok, exitCodes.refused]);
	const winner = codes[0] === exitCodes.ok ? 'race-a' : 'race-b';
	const loser = results.find(({code}) => code === exitCodes.refused)!;
	t.true(loser.stderr.includes(`taken by ${winner}`));
});

test.serial('a change resent with the same change id gets the same answer; other content under that id is refused', async t => {
	const number = await nextNumber();
	const send = async (node: string, value: string) => runAt(node, 'tree', 'set', service, 'deadlineMs', value, '--number', number, '--change-id', 'resent');
	const sent = await send(first, '25000');
	t.is(sent.code, exitCodes.ok);
	t.deepEqual(await send(second, '25000'), sent);
	const other = await send(first, '26000');
	t.is(other.code, exitCodes.refused);
	t.regex(other.stderr, /change id/v);
});

test.serial('an invalid change reports every problem and changes nothing', async t => {
	const number = await nextNumber();
	writeFileSync(file('wrong.yaml'), `${service}: {deadlineMs: 0, noSuchKey: 1}\n`);
	const wrong = await runAt(first, 'tree', 'apply', file('wrong.yaml'));
	t.is(wrong.code, exitCodes.refused);
	t.regex(wrong.stderr, /deadlineMs/v);
	t.regex(wrong.stderr, /noSuchKey/v);
	t.is(await nextNumber(), number);
});

test.serial('a wrong or missing operator key is refused and prints no data', async t => {
	writeFileSync(file('wrong.key'), 'wrong', {mode: 0o600});
	const wrong = await cli('tree', 'show', '--entry', launcher.address(first), '--key-file', file('wrong.key'));
	t.is(wrong.code, exitCodes.failed);
	t.is(wrong.stdout, '');
	const missing = await cli('tree', 'show', '--entry', launcher.address(first), '--key-file', file('none.key'));
	t.is(missing.code, exitCodes.usage);
	t.regex(missing.stderr, /none\.key: --key-file: cannot be read/v);
});

test.serial('status, entries, members and keepers show all regions', async t => {
	const status = await json<{node: string; regions: unknown[]}>(second, 'status');
	t.is(status.node, second);
	t.is(status.regions.length, 3);
	const {entries} = await json<{entries: Array<{node: string}>}>(second, 'entries');
	t.is(entries[0]!.node, second);
	t.is(entries.length, 3);
	const members = await json<{voters: string[]}>(first, 'members', 'list');
	t.is(members.voters.length, 3);
	const keepers = await json<{node: string; keepers: Array<{region: string}>}>(first, 'keepers', 'status');
	t.is(keepers.node, first);
	const {stdout} = await runAt(first, 'status');
	t.regex(stdout, /^region +reachable/mv);
});

test.serial('an added control VM that never comes up is listed, named when another one is refused, and can be withdrawn', async t => {
	const {leader} = await json<{leader: string}>(first, 'members', 'list');
	t.like(await runAt(leader, 'members', 'add', 'never-up'), {code: exitCodes.ok});
	const refused = await runAt(leader, 'members', 'add', 'another');
	const list = async () => json<{voters: string[]; wanted?: string[]}>(leader, 'members', 'list');
	const pending = await list();
	t.like(await runAt(leader, 'members', 'remove', 'never-up'), {code: exitCodes.ok});
	t.is(refused.code, exitCodes.refused);
	t.regex(refused.stderr, /never-up was added and does not vote yet: start it, or remove it again/v);
	t.deepEqual(pending.wanted?.filter(node => !pending.voters.includes(node)), ['never-up']);
	const withdrawn = await list();
	t.deepEqual(withdrawn.wanted?.toSorted(), withdrawn.voters.toSorted());
});

// Guards against a change of the members that was held up on its way and is carried out after newer ones.
test.serial('a change of the members that follows an older list of them, or whose operator has left, is not carried out', async t => {
	const list = async () => json<{leader: string; configurationIndex: number; wanted: string[]}>(first, 'members', 'list');
	const {leader, configurationIndex} = await list();
	t.like(await runAt(leader, 'members', 'add', 'never-up'), {code: exitCodes.ok});
	t.like(await runAt(leader, 'members', 'remove', 'never-up'), {code: exitCodes.ok});
	const {statusCode, body} = await request(`http://${launcher.address(leader)}/v1/members`, {
		method: 'POST', headers: {authorization: 'Bearer test-operator-key'}, body: JSON.stringify({type: 'add', node: 'never-up', after: configurationIndex}),
	});
	t.is(statusCode, 409);
	t.regex(await body.text(), /have changed since/v);
	const [, port] = launcher.address(leader).split(':');
	await sendAndLeave(Number(port), {
		method: 'POST', path: '/v1/members', headers: {authorization: 'Bearer test-operator-key'}, body: JSON.stringify({type: 'add', node: 'never-up'}),
	});
	const {wanted} = await json<{wanted: string[]}>(leader, 'members', 'list');
	t.false(wanted.includes('never-up'));
});

test.serial('invalid arguments end with exit code 2 and one line on stderr', async t => {
	const wrong = [
		'bogus',
		'tree',
		'tree bogus',
		'tree set a b',
		'tree set a b c d',
		'tree apply',
		'tree apply none.yaml',
		'tree history --number x',
		'status --bogus',
		'status --entry nowhere',
		'status --entry 5',
		'members add',
		'keepers bogus',
		'check none.yaml',
		'run none.yaml',
		'run',
	];
	for (const line of wrong) {
		const {code, stderr} = await cli(...line.split(' ')); // eslint-disable-line no-await-in-loop
		t.is(code, exitCodes.usage, `${line}: exit code`);
		t.is(stderr.trimEnd().split('\n').length, 1, `${line}: one line`);
	}
});

test.serial('check reports a key file that others may read; run reports a data folder and a port in use', async t => {
	const settingsFile = path.join(launcher.folder, first, `${first}.yaml`);
	t.like(await cli('check', settingsFile), {code: exitCodes.ok});
	const key = path.join(launcher.folder, first, 'peer.key');
	chmodSync(key, 0o644);
	const readableKey = await cli('check', settingsFile);
	chmodSync(key, 0o600);
	t.is(readableKey.code, exitCodes.usage);
	t.regex(readableKey.stderr, /peer\.key: peerKeyFile: may be read by other users: run chmod 600/v);

	const folderInUse = await cli('run', settingsFile);
	t.is(folderInUse.code, exitCodes.dataFolder);
	t.regex(folderInUse.stderr, /uses the folder/v);

	const portInUseFile = path.join(launcher.folder, first, 'taken.yaml');
	const listen = `{callers: ${launcher.address(first)}, peers: 127.0.0.1:${await freePort()}}`;
	const text = readFileSync(settingsFile, 'utf8').replace(/listen:\n.*\n.*\n/v, `listen: ${listen}\n`).replace('dataFolder: data', 'dataFolder: data-2');
	writeFileSync(portInUseFile, text);
	const portInUse = await cli('run', portInUseFile);
	t.is(portInUse.code, exitCodes.listen);
	t.regex(portInUse.stderr, /^listen\.callers: cannot listen on [^\n]*EADDRINUSE[^\n]*\n$/v);
});
