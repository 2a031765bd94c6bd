import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {LinkMonitor} from '../../src/server/link-monitor.ts';
import {constants} from '../../src/settings/constants.ts';
import {blockEventLoop} from '../fixtures/block-event-loop.ts';

// Guards against links that are given up with the heartbeat unread in the socket's buffer, since the process itself stood still.
test('a link is not given up for time in which its own process did not run', t => {
	const monitor = new LinkMonitor();
	monitor.recordOpen();
	t.false(monitor.isTimedOut());
	blockEventLoop(constants.peerHeartbeatTimeoutMs + constants.peerHeartbeatMs);
	t.false(monitor.isTimedOut());
	monitor.recordHeartbeat();
	t.false(monitor.isTimedOut());
});

test('a link without a heartbeat is given up at its timeout, also after its process stood still', async t => {
	const monitor = new LinkMonitor();
	monitor.recordSent();
	blockEventLoop(constants.peerHeartbeatTimeoutMs);
	let checks = 0;
	while (!monitor.isTimedOut()) {
		checks += 1;
		await sleep(constants.peerHeartbeatMs); // eslint-disable-line no-await-in-loop
	}

	t.true(checks <= constants.peerHeartbeatTimeoutMs / constants.peerHeartbeatMs, `${checks}`);
});
