import test from 'ava';
import {assertAlive} from '../fixtures/assert-alive.ts';
import {OpenConnections} from '../fixtures/open-connections.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';

const memoryMb = 210;
const descriptors = 512;
const freeDescriptors = 16;
const connections = 600;
const largeBodies = 60;
const mebibyte = 1_048_576;
const perSubnet = 250;

/** A loopback address for each client. */
function addressOf(index: number): string {
	return `127.7.${Math.floor(index / perSubnet)}.${(index % perSubnet) + 1}`;
}

const largePart = 'x'.repeat((4 * mebibyte) - 1);
const crowds = {
	'send nothing': {count: connections, reopens: true, bytes: () => ''},
	'send a part of a body': {count: connections, reopens: true, bytes: () => 'PUT /calls/1 HTTP/1.1\r\nHost: prairie.example\r\nContent-Length: 100\r\n\r\npart'},
	'are kept after a request': {count: connections, reopens: true, bytes: () => 'GET /unknown HTTP/1.1\r\nHost: prairie.example\r\n\r\n'},
	'speak HTTP/1.0': {count: connections, reopens: true, bytes: () => 'GET /unknown HTTP/1.0\r\nHost: prairie.example\r\nConnection: keep-alive\r\n\r\n'},
	'send all but the last byte of a large body': {
		count: largeBodies, reopens: true, bytes: () => `PUT /calls/1 HTTP/1.1\r\nHost: prairie.example\r\nContent-Length: ${4 * mebibyte}\r\n\r\n${largePart}`,
	},
};

for (const [title, {count, reopens, bytes}] of Object.entries(crowds)) {
	// Guards against bounds that hold for each address only.
	test(`clients at addresses of their own that ${title} leave the entry within its memory and descriptors`, async t => {
		const deployment = await ProcessDeployment.start({memoryMb, descriptors});
		const clients = new OpenConnections({
			port: deployment.ports.callers, count, bytes, localAddress: addressOf, reopens,
		});
		t.teardown(async () => {
			clients.close();
			await deployment.close();
		});
		await clients.open();
		await clients.settled();
		assertAlive(t, deployment, {memoryMb, descriptors: descriptors - freeDescriptors});
		t.true(await deployment.isCallServed(), 'an ordinary call was not answered');
		t.true(await deployment.isStreamServed(), 'an ordinary stream was not answered');
		assertAlive(t, deployment, {memoryMb, descriptors: descriptors - freeDescriptors});
	});
}
