import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {startLoneControlNode} from '../../fixtures/lone-control-node.ts';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';

const arrivalMs = 300;

// Guards against operators' calls that a stopping control node cut off without an answer.
test('calls of operators in progress are answered before a control node ends', async t => {
	const {process, operators} = await startLoneControlNode(t);
	const calls = (['PUT', 'GET'] as const).map(async method => {
		const {statusCode, headers, body} = await request(`http://127.0.0.1:${operators}/configuration`, {method, body: method === 'PUT' ? platformConfiguration(1) : undefined});
		await body.dump();
		return {statusCode, hasDelay: headers['retry-after'] !== undefined};
	});
	await sleep(arrivalMs);
	await process.stop();
	t.deepEqual(await Promise.all(calls), calls.map(() => ({statusCode: 503, hasDelay: true})));
});
