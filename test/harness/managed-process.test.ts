import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {describeMachine} from './describe-machine.ts';
import {ManagedProcess} from './managed-process.ts';

const blockedMs = 700;
const waitMs = 10_000;

// Guards against failed runs that don't tell a busy machine from a fault.
test('a report names how late the event loop of a process was, also after the process ended', async t => {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-managed-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true, force: true});
	});
	const program = path.join(folder, 'blocked.mjs');
	writeFileSync(program, `setTimeout(() => {const end = Date.now() + ${blockedMs}; while (Date.now() < end);}, 100); setInterval(() => {}, 1000);`);
	const managed = new ManagedProcess([program], path.join(folder, 'blocked.log'));
	managed.start();
	const isKnown = () => (managed.machineTimes().lateMs ?? 0) >= blockedMs / 2;
	for (const end = Date.now() + waitMs; Date.now() < end && !isKnown();) {
		await delay(100); // eslint-disable-line no-await-in-loop
	}

	await managed.end('SIGKILL');
	const {ranMs, waitedMs, lateMs} = managed.machineTimes();
	t.true(lateMs! >= blockedMs / 2, `${lateMs}`);
	t.regex(describeMachine([['blocked', managed]]), /^machine: \d+ processors, load .*; blocked ran \d+ ms, waited for a processor \d+ ms, event loop late by up to \d+ ms; the test ran \d+ ms/v);
	t.true(ranMs! + waitedMs! >= blockedMs, `${ranMs} + ${waitedMs}`);
});
