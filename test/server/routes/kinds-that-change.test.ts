import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import test from 'ava';
import {relayHeader} from '../../../src/server/routes/relay-header.ts';
import {listenOnLoopback} from '../../fixtures/listen-on-loopback.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';
import {targetClientFixture} from '../../fixtures/target-client-fixture.ts';

const {idempotentName} = relayHeader;
const mark = {[idempotentName]: relayHeader.writeIdempotent()};

// Guards against requests that run twice while a change of their route's kind is on its way to the entries.
test('an entry refuses a request that must not run twice, as not run, if the entry that forwarded it might send it again', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	const refused = await deployment.forward({path: '/orders/1', body: 'order', headers: mark});
	await refused.body.dump();
	t.is(refused.statusCode, 503);
	t.is(refused.headers['lovageferry-refused'], 'outdated');
	t.is(deployment.desk[0]!.receivedRequests.length, 0);
	for (const [path, headers] of [['/orders/1', {}], ['/calls/1', mark]] as const) {
		const res = await deployment.forward({path, headers}); // eslint-disable-line no-await-in-loop
		await res.body.dump(); // eslint-disable-line no-await-in-loop
		t.is(res.statusCode, 200);
	}

	t.true(deployment.desk[0]!.receivedRequests.every(({headers}) => headers[idempotentName] === undefined));
});

for (const isIdempotent of [true, false]) {
	test(`an entry tells another one ${isIdempotent ? 'that a request may run more than once' : 'nothing of the kind of a request that must not run twice'}`, async t => {
		const server = createServer((_req, res) => {
			res.end();
		});
		const address = await listenOnLoopback(t, server);
		const received = once(server, 'request') as Promise<[IncomingMessage]>;
		await targetClientFixture(t).send({key: 'id-1', address, isIdempotent});
		const [{headers}] = await received;
		t.is(relayHeader.readIdempotent(headers[idempotentName]), isIdempotent ? true : undefined);
	});
}
