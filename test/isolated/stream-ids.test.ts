import test from 'ava';
import {assertAlive} from '../fixtures/assert-alive.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';
import {sendDrafts} from '../fixtures/send-drafts.ts';

const memoryMb = 210;
const heapMb = 64;
const descriptors = 200;
const connections = 16;
const requests = 6000;
/** Characters of an id: within a head of 16,384 bytes. */
const longId = 15_000;

// Guards against entries and control nodes that remember where streams began by ids without a bound in bytes.
test('streams with long ids leave the entry and the control node within their memory', async t => {
	const deployment = await ProcessDeployment.start({memoryMb, heapMb});
	t.teardown(async () => deployment.close());
	const statuses = await sendDrafts(deployment, {count: requests, connections, headers: index => ({'request-identifier': `${index}-`.padEnd(longId, 'i')})});
	t.log([...statuses]);
	assertAlive(t, deployment, {memoryMb, descriptors});
	t.true(await deployment.isStreamServed(), 'an ordinary stream was not answered');
});
