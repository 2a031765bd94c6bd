import net from 'node:net';

/** Below the range from which the kernel takes ports for connections. */
const lowest = 12_000;
const highest = 31_000;
const maxTries = 50;

/** Finds `count` ports in a row that are free at all addresses of this machine; resolves with the first one. */
export async function freePorts(count) {
	for (let tries = 0; tries < maxTries; tries++) {
		const first = lowest + Math.floor(Math.random() * (highest - lowest - count));
		const servers = Array.from({length: count}, () => net.createServer());
		try {
			await Promise.all(servers.map(async (server, index) => new Promise((resolve, reject) => { // eslint-disable-line no-await-in-loop
				server.once('error', reject);
				server.listen({host: '0.0.0.0', port: first + index}, resolve);
			})));
			return first;
		} catch {
			// One of them is in use.
		} finally {
			for (const server of servers) {
				server.close();
			}
		}
	}

	throw new Error('no free ports');
}
