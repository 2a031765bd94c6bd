import {
	mkdirSync, mkdtempSync, readdirSync, readlinkSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {openWhenWritable} from '../../../src/server/journal/open-when-writable.ts';

/** A data folder in which the first attempt to write the identity fails with ENOSPC. */
function fullFolder(t: ExecutionContext): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'journal-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true, force: true});
	});
	symlinkSync('/dev/full', path.join(folder, 'identity.new'));
	return folder;
}

/** Files of a folder that this process holds open. */
function openFiles(folder: string): readonly string[] {
	return readdirSync('/proc/self/fd').flatMap(fd => {
		try {
			const file = readlinkSync(`/proc/self/fd/${fd}`);
			return file.startsWith(folder) ? [path.basename(file)] : [];
		} catch {
			return [];
		}
	});
}

// Guards against a full disk at the start that looks like a damaged folder, so that supervisors let the process stay down.
test('a folder whose disk is full at the start is opened once the disk has room', async t => {
	const folder = fullFolder(t);
	const seen: string[] = [];
	const opened = await openWhenWritable(folder, {
		onFailed(reason) {
			seen.push(reason.includes('ENOSPC') ? 'ENOSPC' : reason);
		},
		onRegained() {
			seen.push('regained');
		},
	});
	t.deepEqual(seen, ['ENOSPC', 'regained']);
	t.deepEqual(openFiles(folder).toSorted(), ['consensus.journal', 'ledger.journal']);
	await opened.journals.consensus.append([{kept: true}]);
	await opened.close();
	t.deepEqual(openFiles(folder), []);
});

test('a damaged folder, and one that is no folder, are refused at once', async t => {
	const folder = fullFolder(t);
	const refuse = async (name: string) => openWhenWritable(path.join(folder, name), {
		onFailed(reason) {
			t.fail(reason);
		},
		onRegained() {
			t.fail();
		},
	});
	mkdirSync(path.join(folder, 'damaged'));
	writeFileSync(path.join(folder, 'damaged', 'consensus.journal'), 'no journal');
	await t.throwsAsync(refuse('damaged'), {message: /identity is missing/});
	writeFileSync(path.join(folder, 'file'), '');
	await t.throwsAsync(refuse('file/below'), {message: /ENOTDIR/});
});

// Guards against a process that can't be stopped in order while it waits for its disk.
test('the wait for a full disk ends once the process is asked to stop', async t => {
	const folder = fullFolder(t);
	const stopWanted = new AbortController();
	await t.throwsAsync(openWhenWritable(folder, {
		onFailed() {
			stopWanted.abort();
		},
		onRegained() {
			t.fail();
		},
		signal: stopWanted.signal,
	}), {name: 'AbortError'});
	t.deepEqual(openFiles(folder), []);
});
