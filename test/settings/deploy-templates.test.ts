import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {loadRoutesSettings} from '../../src/settings/load-routes-settings.ts';

/** Values that the platform fills into the templates on one machine. */
const values = {
	'node-name': 'frontend-regina-a-1',
	zone: 'regina-a',
	region: 'regina',
	zones: {'regina-a': 'regina', 'winnipeg-a': 'winnipeg'},
	'ip-address': '10.1.0.35',
	'internal-port-range': [7660, 7675],
	'seed-nodes': ['10.1.0.37:8146', '10.2.0.31:8146'],
	bootstrap: true,
	limits: {'cpu-share': 0.81, 'memory-mb': 490, 'file-descriptors': 4100},
	'heartbeat-interval-ms': 800,
	bounds: {
		'grace-period-s': 8, 'retry-budget-ratio': 0.2, 'retry-budget-slack': 12, 'budget-window-s': 10,
	},
	'fault-tolerance': {machines: 2},
	'listen-addresses': {
		frontend: '10.1.0.35:8144', ready: '10.1.0.35:8140', 'control-plane': '10.1.0.35:8146', directory: '10.1.0.35:8148',
	},
	'data-directory': '/var/lib/lovageferry',
};

function lookUp(source: unknown, key: string): unknown {
	let value: unknown = source;
	for (const part of key.split('.')) {
		value = (value as Record<string, unknown> | undefined)?.[part];
	}

	return value;
}

/** Renders the subset of Mustache that the templates use: values, values as JSON, and sections for true and false. */
function render(t: ExecutionContext, template: string, source: unknown = values): string {
	// Sections may contain others.
	const withoutSections = template.replaceAll(/\{\{(?<kind>[#^])(?<key>[\w.\-]+)\}\}(?<inner>.*?)\{\{\/\k<key>\}\}/gsv, (_, kind: string, key: string, inner: string) => Boolean(lookUp(source, key)) === (kind === '#') ? inner : '');
	if (withoutSections !== template) {
		return render(t, withoutSections, source);
	}

	return template
		.replaceAll(/\{\{(?<key>[\w.\-]+)(?<json>\|json)?\}\}/gv, (_, key: string, json: string | undefined) => {
			const value = lookUp(source, key);
			t.not(value, undefined, key);
			return json === undefined ? String(value) : JSON.stringify(value);
		});
}

test('a platform that names no memory leaves the default', t => {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'local.toml');
	writeFileSync(file, render(t, readFileSync('deploy/entry.yaml', 'utf8').replace('{{limits.memory-mb}}', '')));
	t.is(loadRoutesSettings(file).memoryMb, 210);
});

for (const role of ['entry', 'control'] as const) {
	test(`the template of the role ${role} renders valid settings`, t => {
		const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-'));
		t.teardown(() => {
			rmSync(folder, {recursive: true});
		});
		const file = path.join(folder, 'local.toml');
		writeFileSync(file, render(t, readFileSync(`deploy/${role}.yaml`, 'utf8')));
		const settings = loadRoutesSettings(file);
		t.is(settings.role, role);
		t.true(settings.firstStart);
		t.is(settings.graceMs, 8000);
		t.is(settings.toleratedDisks, 2);
		t.is(settings.memoryMb, 490);
		t.is(settings.listen[role === 'entry' ? 'callers' : 'operators']!.host, '10.1.0.35');
	});
}

test('an entry has quotas if the platform names their window, and none otherwise', t => {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'local.toml');
	const template = readFileSync('deploy/entry.yaml', 'utf8');
	writeFileSync(file, render(t, template));
	t.is(loadRoutesSettings(file).quotas, undefined);
	writeFileSync(file, render(t, template, {
		...values, bounds: {
			...values.bounds, 'quota-window-s': 8, 'quota-overage': 0.1, 'quota-slack': 140_000,
		},
	}));
	t.deepEqual(loadRoutesSettings(file).quotas, {windowMs: 8000, overage: 0.1, slack: 140_000});
	writeFileSync(file, render(t, template, {...values, bounds: {...values.bounds, 'quota-window-s': 8}}));
	t.deepEqual(loadRoutesSettings(file).quotas, {windowMs: 8000, overage: 0, slack: 0});
});
