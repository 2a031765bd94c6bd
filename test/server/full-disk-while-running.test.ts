import {rmSync} from 'node:fs';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Daemon} from '../../src/server/daemon.ts';
import {Journal} from '../../src/server/journal/journal.ts';
import {recordCodec} from '../../src/server/journal/record-codec.ts';
import {startLoneControlNode} from '../fixtures/lone-control-node.ts';
import {settingsFolder} from '../fixtures/settings-folder.ts';
import {PortBlock} from '../harness/port-block.ts';

const fullMs = 1500;
const recordMs = 15_000;
const checkMs = 50;

/** Makes all journal writes of this process fail, until the returned function is called. */
function fillDisk(): () => void {
	const {append, rewrite} = Journal.prototype;
	const fail = async () => {
		throw new Error('ENOSPC: no space left on device, write');
	};

	Journal.prototype.append = fail;
	Journal.prototype.rewrite = fail;
	return () => {
		Object.assign(Journal.prototype, {append, rewrite});
	};
}

/** Types of the records in the log's journal, once there are any; empty if there are none in time. */
async function recordTypes(dataFolder: string): Promise<readonly string[]> {
	for (let waited = 0; waited < recordMs; waited += checkMs) {
		const {records} = recordCodec.decode(await readFile(path.join(dataFolder, 'consensus.journal'))); // eslint-disable-line no-await-in-loop
		if (records.length > 0) {
			return records.map(record => (record as {type: string}).type);
		}

		await sleep(checkMs); // eslint-disable-line no-await-in-loop
	}

	return [];
}

// Both guard against a process that runs on, and takes no part in the log for good, after a failed write.
test.serial('a control node writes its journal once its disk has room, without a restart', async t => {
	const freeDisk = fillDisk();
	let folder = '';
	const {process} = await startLoneControlNode(t, dataFolder => {
		folder = dataFolder;
	});
	await sleep(fullMs);
	freeDisk();
	const types = await recordTypes(folder);
	t.true(types.includes('founder'));
	await process.stop();
});

test.serial('a process with a settings tree founds its log once its disk has room, without a restart', async t => {
	const ports = await PortBlock.reserve();
	const file = settingsFolder({listen: {callers: `127.0.0.1:${ports.next()}`, peers: `127.0.0.1:${ports.next()}`}});
	t.teardown(() => {
		ports.release();
		rmSync(path.dirname(file), {recursive: true, force: true});
	});
	const freeDisk = fillDisk();
	const daemon = await Daemon.start(file);
	await sleep(fullMs);
	freeDisk();
	const types = await recordTypes(path.join(path.dirname(file), 'data'));
	t.true(types.includes('entries'));
	await daemon.stop();
});
