import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {loadRoutesSettings} from '../../src/settings/load-routes-settings.ts';
import {SettingsError} from '../../src/settings/settings-error.ts';

const entry = `
mode: routes
role: entry
node: "frontend-regina-a-1"
zone: "regina-a"
region: "regina"
zones: {"regina-a":"regina","winnipeg-a":"winnipeg"}
internal: {ip: "10.1.0.35", firstPort: 7660, lastPort: 7675}
controlSeeds: ["10.1.0.37:8146","10.2.0.31:8146"]
firstStart: true
listen:
  callers: "10.1.0.35:8144"
  readiness: "10.1.0.35:8140"
`;

function write(t: ExecutionContext, text: string): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'local.yaml');
	writeFileSync(file, text);
	return file;
}

test('settings are resolved: node ids are peer addresses, also those of the seeds', t => {
	const settings = loadRoutesSettings(write(t, entry));
	t.is<string, string>(settings.nodeId, '10.1.0.35:7660');
	t.deepEqual<readonly string[], readonly string[]>(settings.seeds, ['10.1.0.37:7664', '10.2.0.31:7664']);
	t.deepEqual(settings.listen.relay, {host: '10.1.0.35', port: 7661});
	t.is(settings.repeats.windowMs, 10_000);
});

test('a process needs descriptors beside its own', t => {
	t.throws(() => loadRoutesSettings(write(t, entry + 'descriptors: 100\n')), {instanceOf: SettingsError, message: /descriptors/v});
	t.is(loadRoutesSettings(write(t, entry + 'descriptors: 4100\n')).descriptors, 4100);
	t.is(loadRoutesSettings(write(t, entry + 'descriptors:\n')).descriptors, undefined);
});

test('every invalid key is reported with file, key and remedy', t => {
	const file = write(t, entry.replace('role: entry', 'role: control').replace('firstPort: 7660', 'firstPort: 0') + 'colour: red\n');
	const error = t.throws(() => loadRoutesSettings(file), {instanceOf: SettingsError});
	for (const part of [file, 'internal.firstPort', 'colour', 'remove or correct it']) {
		t.true(error.message.includes(part), part);
	}

	const control = t.throws(() => loadRoutesSettings(write(t, entry.replace('role: entry', 'role: control'))), {instanceOf: SettingsError});
	for (const key of ['listen.operators', 'listen.directory', 'dataFolder']) {
		t.true(control.message.includes(key), key);
	}
});
