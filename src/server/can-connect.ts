import {connect} from 'node:net';
import {isAddress} from '../settings/is-address.ts';
import {pendingReads} from './pending-reads.ts';

/** Opens a connection to `host:port` and closes it again; false if it can't be opened within `timeoutMs`, or if the address isn't valid. */
export async function canConnect(address: string, timeoutMs: number): Promise<boolean> {
	if (!isAddress(address)) {
		return false;
	}

	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port), timeout: timeoutMs});
		const finish = (reachable: boolean) => {
			socket.destroy();
			resolve(reachable);
		};

		socket.once('connect', () => {
			finish(true);
		}).once('timeout', async () => {
			// This process may have stood still, and the connection may be open by now.
			await pendingReads();
			finish(false);
		}).once('error', () => {
			finish(false);
		});
	});
}
