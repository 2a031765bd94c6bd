import {chmodSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import test from 'ava';
import {loadSettings} from '../../src/settings/load-settings.ts';
import {SettingsError} from '../../src/settings/settings-error.ts';
import {settingsFolder} from '../fixtures/settings-folder.ts';

const startedAt = 1;

test('paths, keys and defaults are resolved', t => {
	const file = settingsFolder();
	const settings = loadSettings(file, startedAt);
	t.is(settings.dataFolder, path.join(path.dirname(file), 'data'));
	t.deepEqual(settings.keys.peer, ['peer-secret']);
	t.like(settings.self, {
		weight: 1, hasDisk: true, incarnation: startedAt, callerAddress: '127.0.0.1:7101',
	});
});

test('all problems are reported at once, with file and key', t => {
	const file = settingsFolder({
		weight: -1, colour: 'green', listen: {callers: 'localhost:7101', peers: '127.0.0.1:7201'}, control: {members: ['winnipeg-1']},
	});
	const error = t.throws(() => loadSettings(file, startedAt), {instanceOf: SettingsError});
	for (const key of ['weight', 'colour', 'listen.callers', 'control.members.0']) {
		t.true(error.problems.some(problem => problem.startsWith(`${file}: `) && problem.includes(key)), `${key} is not named`);
	}
});

test('a control member requires a data folder', t => {
	const file = settingsFolder({dataFolder: undefined});
	const error = t.throws(() => loadSettings(file, startedAt), {instanceOf: SettingsError});
	t.true(error.message.includes('dataFolder'));
});

test('a key file that other users may read is refused, and a missing one is reported', t => {
	const file = settingsFolder({orderKeyFile: 'order.key'});
	chmodSync(path.join(path.dirname(file), 'peer.key'), 0o644);
	const error = t.throws(() => loadSettings(file, startedAt), {instanceOf: SettingsError});
	t.true(error.message.includes('chmod 600'));
	t.true(error.message.includes('order.key'));
});

test('a key file with two peer keys yields both, in order', t => {
	const file = settingsFolder();
	writeFileSync(path.join(path.dirname(file), 'peer.key'), 'new-secret\npeer-secret\n', {mode: 0o600});
	t.deepEqual(loadSettings(file, startedAt).keys.peer, ['new-secret', 'peer-secret']);
});
