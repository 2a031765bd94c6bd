import {mkdirSync, rmSync, symlinkSync} from 'node:fs';
import path from 'node:path';
import test from 'ava';
import {Daemon} from '../../src/server/daemon.ts';
import {startLoneControlNode} from '../fixtures/lone-control-node.ts';
import {settingsFolder} from '../fixtures/settings-folder.ts';
import {PortBlock} from '../harness/port-block.ts';

/** Makes the first attempt to write the identity of a new data folder fail with ENOSPC. */
function fillDisk(dataFolder: string): void {
	mkdirSync(dataFolder, {mode: 0o700});
	symlinkSync('/dev/full', path.join(dataFolder, 'identity.new'));
}

// Both guard against a full disk at the start that ends the process with the exit code of a damaged folder.
test('a control node whose disk is full at its start runs once the disk has room', async t => {
	const {process} = await startLoneControlNode(t, fillDisk);
	await process.stop();
	t.pass();
});

test('a process with a settings tree whose disk is full at its start runs once the disk has room', async t => {
	const ports = await PortBlock.reserve();
	const file = settingsFolder({listen: {callers: `127.0.0.1:${ports.next()}`, peers: `127.0.0.1:${ports.next()}`}});
	t.teardown(() => {
		ports.release();
		rmSync(path.dirname(file), {recursive: true, force: true});
	});
	fillDisk(path.join(path.dirname(file), 'data'));
	const daemon = await Daemon.start(file);
	await daemon.stop();
	t.pass();
});
