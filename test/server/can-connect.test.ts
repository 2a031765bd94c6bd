import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {setImmediate as nextLoopTurn} from 'node:timers/promises';
import test from 'ava';
import {canConnect} from '../../src/server/can-connect.ts';
import {blockEventLoop} from '../fixtures/block-event-loop.ts';

const timeoutMs = 300;

/** Probes a port while the process stands still as soon as the connection is being opened. */
async function probeDuringStandstill(port: number, standstillMs: number): Promise<boolean> {
	// The loop's next phase is that of the timers.
	await nextLoopTurn();
	const probe = canConnect(`127.0.0.1:${port}`, timeoutMs);
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
	blockEventLoop(standstillMs);
	return probe;
}

// Guards against targets that count as out of reach, since the timeout is noticed before the connection that is open.
for (const standstillMs of [500, 1000, 2000]) {
	test.serial(`a target counts as reachable only if it is, though the process stood still for ${standstillMs} ms while it was probed`, async t => {
		const server = createServer().listen(0, '127.0.0.1');
		t.teardown(() => {
			server.close();
		});
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		t.true(await probeDuringStandstill(port, standstillMs));
		server.close();
		await once(server, 'close');
		t.false(await probeDuringStandstill(port, standstillMs));
	});
}
