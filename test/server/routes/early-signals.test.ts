import {
	existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {bundle} from '../../harness/bundle.ts';
import {ManagedProcess} from '../../harness/managed-process.ts';
import {PortBlock} from '../../harness/port-block.ts';

const internalPorts = 6;
const waitMs = 20_000;
const pollMs = 2;

/** Starts an entry in a process of its own; resolves once it has begun to start. */
async function startEntry(t: ExecutionContext) {
	const ports = await PortBlock.reserve();
	const [callers, readiness, seed, internal] = [ports.next(), ports.next(), ports.next(), ports.next()];
	for (let count = 1; count < internalPorts; count++) {
		ports.next();
	}

	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-'));
	const settings = path.join(folder, 'entry.yaml');
	const logFile = path.join(folder, 'entry.log');
	writeFileSync(settings, JSON.stringify({
		mode: 'routes',
		role: 'entry',
		node: 'entry-1',
		zone: 'regina-a',
		region: 'regina',
		zones: {'regina-a': 'regina'},
		internal: {ip: '127.0.0.1', firstPort: internal, lastPort: internal + internalPorts - 1},
		controlSeeds: [`127.0.0.1:${seed}`],
		graceMs: 1000,
		listen: {callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`},
	}));
	const entry = new ManagedProcess([await bundle('platform/main.ts'), 'run', settings], logFile);
	t.teardown(async () => {
		await entry.end('SIGKILL');
		ports.release();
		rmSync(folder, {recursive: true, force: true});
	});
	const logged = async (message: string) => {
		const isLogged = () => existsSync(logFile) && readFileSync(logFile, 'utf8').includes(`"msg":"${message}"`);
		for (const until = Date.now() + waitMs; Date.now() < until && entry.up && !isLogged();) {
			await sleep(pollMs); // eslint-disable-line no-await-in-loop
		}

		return isLogged();
	};

	entry.start();
	t.true(await logged('starting'));
	return {entry, logged};
}

test('SIGHUP does not end a process that is still starting', async t => {
	const {entry, logged} = await startEntry(t);
	entry.signal('SIGHUP');
	t.true(await logged('started'), 'it started');
	t.true(await logged('reloaded'), 'it reloaded once it had started');
	t.true(entry.up);
});

test('SIGTERM stops a process in order that is still starting', async t => {
	const {entry, logged} = await startEntry(t);
	entry.signal('SIGTERM');
	t.true(await logged('stopping'), 'it stopped once it had started');
	for (const until = Date.now() + waitMs; Date.now() < until && entry.up;) {
		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}

	t.is(entry.exitCode, 0);
});
