import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import test from 'ava';
import {loadBundle} from '../../src/bundle/load-bundle.ts';
import {nodeFlags} from '../../scripts/platform-build/node-flags.ts';

const file = '/nowhere/bundle.cjs';
const source = 'globalThis.bundleRuns = (globalThis.bundleRuns ?? 0) + [require, module, exports, __filename, __dirname].length;';

test('a bundle is compiled from its code cache, and runs each time with modules of its own', t => {
	const cachedData = loadBundle({file, source}).script.createCachedData();
	const cached = loadBundle({file, source, cachedData});
	t.false(cached.script.cachedDataRejected);
	cached.run();
	cached.run();
	t.is((globalThis as {bundleRuns?: number}).bundleRuns, 10);
});

test('a code cache of another build, or one that is damaged, does not keep a bundle from starting', t => {
	const cachedData = loadBundle({file, source: `${source}//`}).script.createCachedData();
	for (const [index, wrong] of [cachedData, Buffer.from('damaged'), Buffer.alloc(64)].entries()) {
		// V8 keeps compiled scripts in memory, so each has a source of its own.
		const {script, run} = loadBundle({file, source: `${source}// Build ${index}`, cachedData: wrong});
		t.true(script.cachedDataRejected);
		t.notThrows(run);
	}
});

test('the code cache is written under the flags with which the platform starts the processes', t => {
	const commands = [...readFileSync('deploy/system.toml', 'utf8').matchAll(/^run = "node (?<flags>.*) target\//gmv)];
	t.is(commands.length, 2);
	for (const {groups} of commands) {
		t.is(groups!.flags, nodeFlags.join(' '));
	}
});
