import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {damagedStart} from './damaged-start.ts';
import {ManagedProcess} from './managed-process.ts';
import {PortBlock} from './port-block.ts';

const readSettings = 'fs.readFileSync(process.argv[2]);';
const serve = 'http.createServer().listen(Number(process.argv[3]), "127.0.0.1");';
/** The program stands still, as one that Node loads on a busy machine. */
const blockFor = (ms: number) => `Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ${ms});`;

const cases: Record<string, {program: string; problem?: string}> = {
	'refuses to run': {program: `${readSettings} process.exit(6);`},
	'is loaded for longer than its time and then refuses to run': {program: `${blockFor(4000)} ${readSettings} process.exit(6);`},
	'is loaded for longer than its time and then serves': {program: `${blockFor(4000)} ${readSettings} ${serve}`, problem: 'runs on a damaged data folder'},
	serves: {program: `${readSettings} ${serve}`, problem: 'runs on a damaged data folder'},
	'serves for a while and then ends with the code': {program: `${readSettings} ${serve} setTimeout(() => process.exit(6), 1000);`, problem: 'runs on a damaged data folder'},
	'reads its settings and does nothing': {program: `${readSettings} setInterval(() => {}, 1000);`, problem: 'has not ended within 3000 ms on a damaged data folder, and does not serve'},
	'ends too late': {program: `${readSettings} setTimeout(() => process.exit(6), 4500);`, problem: 'has not ended within 3000 ms on a damaged data folder, and does not serve'},
	'ends with another code': {program: `${readSettings} process.exit(1);`, problem: 'ended with 1 on a damaged data folder instead of 6'},
	'ends in order': {program: readSettings, problem: 'ended with 0 on a damaged data folder instead of 6'},
};

// Guards against a check of damaged folders that takes a process which is still loaded for one that runs, or passes one that serves for a moment.
for (const [manner, {program, problem}] of Object.entries(cases)) {
	test(`a process on a damaged folder that ${manner} is judged`, async t => {
		const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-damaged-'));
		const ports = await PortBlock.reserve();
		const port = ports.next();
		const file = path.join(folder, 'program.mjs');
		const settingsFile = path.join(folder, 'settings.yaml');
		writeFileSync(settingsFile, 'node: n1\n');
		writeFileSync(file, `import fs from 'node:fs'; import http from 'node:http'; import process from 'node:process'; ${program}`);
		const managed = new ManagedProcess([file, settingsFile, String(port)], path.join(folder, 'program.log'));
		t.teardown(async () => {
			await managed.end('SIGKILL');
			ports.release();
			rmSync(folder, {recursive: true, force: true});
		});
		t.is(await damagedStart({managed, settingsFile, addresses: [`127.0.0.1:${port}`]}), problem);
	});
}
