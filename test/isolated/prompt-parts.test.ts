import test from 'ava';
import {assertAlive} from '../fixtures/assert-alive.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';
import {sendDrafts} from '../fixtures/send-drafts.ts';

const memoryMb = 210;
const heapMb = 64;
const descriptors = 200;
const connections = 16;
const requests = 1200;
/** Parts of a prompt: within a head of 16,384 bytes. */
const parts = 1100;
/** Tokens that the engine's KV cache holds: more than all parts together. */
const cacheTokens = 2_000_000;
const identifierLength = 8;

/** Parts that no other request has. */
function promptOf(index: number, tokens: number): string {
	return Array.from({length: parts}, (_, part) => `${((index * parts) + part).toString(16).padStart(identifierLength, '0')}:${tokens}`).join(',');
}

for (const tokens of [1, 0]) {
	// Guards against an entry that remembers prompts without a bound in bytes.
	test(`prompts of ${parts} parts of ${tokens} tokens leave the entry within its memory`, async t => {
		const deployment = await ProcessDeployment.start({memoryMb, heapMb, cacheTokens});
		t.teardown(async () => deployment.close());
		const statuses = await sendDrafts(deployment, {count: requests, connections, headers: index => ({'request-identifier': `parts-${index}`, 'prompt-prefix': promptOf(index, tokens)})});
		t.log([...statuses]);
		assertAlive(t, deployment, {memoryMb, descriptors});
		t.true(await deployment.isStreamServed(), 'an ordinary stream was not answered');
	});
}
