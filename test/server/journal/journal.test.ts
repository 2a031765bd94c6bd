import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync} from 'node:fs';
import {
	mkdir, mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {DataFolder} from '../../../src/server/journal/data-folder.ts';
import {FolderError} from '../../../src/server/journal/folder-error.ts';
import {Journal} from '../../../src/server/journal/journal.ts';

const writerFile = fileURLToPath(new URL('append-until-killed.ts', import.meta.url));
const records = [{a: 1}, {text: 'two'}, {list: [3]}];

async function makeFolder(t: ExecutionContext): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'journal-'));
	t.teardown(async () => rm(folder, {recursive: true, force: true}));
	return folder;
}

async function makeJournal(t: ExecutionContext): Promise<string> {
	const file = path.join(await makeFolder(t), 'j');
	const {journal, load} = await Journal.open(file);
	t.is(load.status, 'missing');
	await Promise.all(records.map(async record => journal.append([record])));
	await journal.close();
	return file;
}

async function load(file: string) {
	const opened = await Journal.open(file);
	await opened.journal.close();
	return opened.load;
}

/** Starts the writer as a child process and collects the lines that it prints. */
function startWriter(file: string, limit: number, prefix: readonly string[] = [], suffix: readonly string[] = []) {
	const [command, ...args] = [...prefix, process.execPath, '--import=tsx', writerFile, file, String(limit), ...suffix] as const;
	const child = spawn(command!, args, {stdio: ['ignore', 'pipe', 'inherit']});
	const lines: string[] = [];
	child.stdout.setEncoding('utf8').on('data', (text: string) => {
		lines.push(...text.split('\n').filter(Boolean));
	});
	return {child, lines, ended: once(child, 'close')};
}

test('keeps records in order across a restart and a rewrite, and rejects writes after close', async t => {
	const file = await makeJournal(t);
	t.deepEqual(await load(file), {status: 'intact', records});
	const {journal} = await Journal.open(file);
	const writes = [journal.append([{before: 1}]), journal.rewrite([{snapshot: true}]), journal.append([{after: 1}])];
	await Promise.all(writes);
	await journal.close();
	t.deepEqual(await load(file), {status: 'intact', records: [{snapshot: true}, {after: 1}]});
	await t.throwsAsync(journal.append([1]), {instanceOf: FolderError});
});

// Guards against a control node that runs out of memory while its disk stalls: the entries of each snapshot in between were kept.
test('a rewrite stands for the writes that still wait: their records are not kept', async t => {
	const file = await makeJournal(t);
	const {journal} = await Journal.open(file);
	let encoded = 0;
	const record = (name: string) => ({
		toJSON() {
			encoded += 1;
			return {name};
		},
	});
	// The first write starts at once; the others wait for it.
	const started = journal.append([record('first')]);
	await Promise.resolve();
	await Promise.resolve();
	const waiting = [];
	for (let round = 0; round < 10; round++) {
		waiting.push(journal.append([record('replaced')]), journal.rewrite([record(`snapshot ${round}`)]));
	}

	waiting.push(journal.append([record('last')]));
	await Promise.all([started, ...waiting]);
	await journal.close();
	t.is(encoded, 3);
	t.deepEqual(await load(file), {status: 'intact', records: [{name: 'snapshot 9'}, {name: 'last'}]});
});

test('a long queue of appends is written in pieces and kept in order', async t => {
	const file = await makeJournal(t);
	const {journal} = await Journal.open(file);
	const text = 'x'.repeat(1_000_000);
	const queued = Array.from({length: 10}, (_, number) => ({number, text}));
	await Promise.all(queued.map(async record => journal.append([record])));
	await journal.append([{after: true}]);
	await journal.close();
	t.deepEqual(await load(file), {status: 'intact', records: [...records, ...queued, {after: true}]});
});

test('truncation at any byte loses only the truncated record', async t => {
	const file = await makeJournal(t);
	const bytes = await readFile(file);
	let recordCount = 0;
	for (let length = 0; length < bytes.length; length++) {
		await writeFile(file, bytes.subarray(0, length)); // eslint-disable-line no-await-in-loop
		const loaded = await load(file); // eslint-disable-line no-await-in-loop
		t.true(loaded.records.length >= recordCount);
		recordCount = loaded.records.length;
		t.deepEqual(loaded.records, records.slice(0, recordCount));
		t.deepEqual(await load(file), {status: 'intact', records: loaded.records}); // eslint-disable-line no-await-in-loop
	}

	t.is(recordCount, 2);
});

test('a flipped bit at any byte is reported as damage with file and offset', async t => {
	const file = await makeJournal(t);
	const bytes = await readFile(file);
	for (let byteOffset = 0; byteOffset < bytes.length; byteOffset++) {
		const flipped = Uint8Array.from(bytes);
		flipped[byteOffset]! ^= 1 << (byteOffset % 8);
		await writeFile(file, flipped); // eslint-disable-line no-await-in-loop
		const error = await t.throwsAsync(load(file), {instanceOf: FolderError}); // eslint-disable-line no-await-in-loop
		t.like(error, {result: 'folderDamaged', file});
		t.true(error.offset! <= byteOffset);
	}
});

test('a killed process loses no record that was reported as synced', async t => {
	const file = path.join(await makeFolder(t), 'j');
	for (let round = 0; round < 3; round++) {
		const {child, lines, ended} = startWriter(file, 1_000_000);
		const killAfterLines = 150 + (70 * round);
		child.stdout.on('data', () => {
			if (lines.length > killAfterLines) {
				child.kill('SIGKILL');
			}
		});
		await ended; // eslint-disable-line no-await-in-loop
		const {records: found} = await load(file); // eslint-disable-line no-await-in-loop
		t.true(lines.length > killAfterLines);
		t.true(found.length > Number(lines.at(-1)));
		t.deepEqual(found.map(record => (record as {number: number}).number), found.map((_, index) => index));
	}
});

test('when the file cannot grow, that write and all later ones are rejected with folderFull', async t => {
	const file = path.join(await makeFolder(t), 'j');
	const {lines, ended} = startWriter(file, 60, ['bash', '-c', 'ulimit -f 16 && exec "$@"', 'bash']);
	await ended;
	const first = lines.indexOf('folderFull');
	t.true(first > 0);
	t.true(lines.slice(first).every(line => line === 'folderFull'));
	const {records: found} = await load(file);
	t.true(found.length >= first);
});

// Guards against a process that can't use its journal again once the disk has room.
test('after a failed write nothing is appended until a rewrite succeeds; records appended after it are kept', async t => {
	const file = await makeJournal(t);
	const {journal} = await Journal.open(file);
	const temporaryFile = `${file}.new`;
	await mkdir(temporaryFile);
	await t.throwsAsync(journal.rewrite([{first: true}]), {instanceOf: FolderError});
	await t.throwsAsync(journal.append([{second: true}]), {instanceOf: FolderError});
	await t.throwsAsync(journal.rewrite([{third: true}]), {instanceOf: FolderError});
	await rm(temporaryFile, {recursive: true});
	await t.throwsAsync(journal.append([{fourth: true}]), {instanceOf: FolderError});
	await Promise.all([journal.rewrite([{fifth: true}]), journal.append([{sixth: true}])]);
	await journal.append([{seventh: true}]);
	await journal.close();
	await t.throwsAsync(journal.rewrite([{eighth: true}]), {instanceOf: FolderError});
	t.deepEqual(await load(file), {status: 'intact', records: [{fifth: true}, {sixth: true}, {seventh: true}]});
});

test('a rewrite after a write that did not fit leaves nothing of it', async t => {
	const file = path.join(await makeFolder(t), 'j');
	const {lines, ended} = startWriter(file, 60, ['bash', '-c', 'ulimit -f 16 && exec "$@"', 'bash'], ['rewrite']);
	await ended;
	t.true(lines.includes('folderFull'));
	t.is(lines.at(-1), 'rewritten');
	t.deepEqual(await load(file), {status: 'intact', records: [{rewritten: true}, {appended: true}]});
});

// Guards against a disk that stays full of the part that a failed rewrite has written.
test('a rewrite that does not fit leaves no part of itself, and the old records', async t => {
	const file = await makeJournal(t);
	const {lines, ended} = startWriter(file, 0, ['bash', '-c', 'ulimit -f 16 && exec "$@"', 'bash'], ['rewrite', String(64 * 1024)]);
	await ended;
	t.deepEqual(lines, ['folderFull']);
	t.false(existsSync(`${file}.new`));
	t.deepEqual(await load(file), {status: 'intact', records});
});

test('a failed rewrite leaves the old records', async t => {
	const file = await makeJournal(t);
	const {journal} = await Journal.open(file);
	const temporaryFile = `${file}.new`;
	await mkdir(temporaryFile);
	await t.throwsAsync(journal.rewrite([{lost: true}]), {instanceOf: FolderError, message: /Free space/});
	await journal.close();
	await rm(temporaryFile, {recursive: true});
	t.deepEqual(await load(file), {status: 'intact', records});
});

test('a folder keeps its identity, is locked against a second process, and is refused with a file missing', async t => {
	const folder = path.join(await makeFolder(t), 'data');
	const first = await DataFolder.open(folder);
	t.is(first.loads.consensus.status, 'missing');
	await first.journals.ledger.append([{kept: 1}]);
	await first.close();
	const second = await DataFolder.open(folder);
	t.is(second.storageId, first.storageId);
	t.deepEqual(second.loads.ledger.records, [{kept: 1}] as unknown[] as never[]);
	await second.close();

	const holder = spawn('sleep', ['30']);
	t.teardown(() => holder.kill());
	const stat = await readFile(`/proc/${holder.pid}/stat`, 'utf8');
	const startTime = stat.slice(stat.lastIndexOf(')') + 2).split(' ')[19];
	await writeFile(path.join(folder, 'lock'), JSON.stringify({pid: holder.pid, startTime}));
	await t.throwsAsync(DataFolder.open(folder), {instanceOf: FolderError, message: /uses the folder/});
	await writeFile(path.join(folder, 'lock'), JSON.stringify({pid: holder.pid, startTime: '1'}));
	const third = await DataFolder.open(folder);
	await third.close();

	const file = path.join(folder, 'identity');
	const error = await t.throwsAsync(DataFolder.open(path.join(file, 'below-a-file')), {instanceOf: FolderError});
	t.is(error.result, 'folderFull');

	await rm(path.join(folder, 'consensus.journal'));
	await t.throwsAsync(DataFolder.open(folder), {instanceOf: FolderError, message: /journal is missing/});
	await writeFile(path.join(folder, 'consensus.journal'), '');
	await rm(path.join(folder, 'identity'));
	await t.throwsAsync(DataFolder.open(folder), {instanceOf: FolderError, message: /identity is missing/});
});

// Guards against a file that keeps a full disk full, since it is left over from a rewrite that did not fit.
test('a rewrite that does not fit leaves no part of it on the disk', async t => {
	const folder = await makeFolder(t);
	const file = path.join(folder, 'j');
	const script = `
		import {Journal} from ${JSON.stringify(new URL('../../../src/server/journal/journal.ts', import.meta.url).href)};
		const {journal} = await Journal.open(process.argv[1]);
		const outcome = await journal.rewrite([{filler: 'x'.repeat(100_000)}]).then(() => 'written', () => 'failed');
		process.stdout.write(outcome);
		await journal.close();
	`;
	const child = spawn('bash', ['-c', 'ulimit -f 16 && exec "$@"', 'bash', process.execPath, '--import=tsx', '--input-type=module', '--eval', script, file], {stdio: ['ignore', 'pipe', 'inherit']});
	let outcome = '';
	child.stdout.setEncoding('utf8').on('data', (text: string) => {
		outcome += text;
	});
	await once(child, 'close');
	t.is(outcome, 'failed');
	t.deepEqual(await readdir(folder), ['j']);
});
