import type {Buffer} from 'node:buffer';
import test from 'ava';
import type {request} from 'undici';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const streamHeaders = {'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm'};
const errorText = 'HTTP/1.1 500 Internal Server Error\n\nthe engine failed';
const answers = [
	{status: 500, contentType: 'application/json'},
	{status: 503, contentType: 'text/event-stream'},
	{status: 400, contentType: 'text/event-stream'},
	{status: 404, contentType: 'text/plain'},
	{status: 302, contentType: 'text/plain'},
	{status: 200, contentType: 'application/json'},
	{status: 200, contentType: 'text/plain'},
	{status: 206, contentType: 'application/json'},
	{status: 204, contentType: 'text/event-stream'},
];

/** What a caller got of a body, and whether it looks complete. */
async function readToEnd(res: Awaited<ReturnType<typeof request>>): Promise<{text: string; complete: boolean}> {
	let text = '';
	try {
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			text += chunk.toString('utf8');
		}

		return {text, complete: true};
	} catch {
		return {text, complete: false};
	}
}

for (const sender of ['caller', 'entry'] as const) {
	const place = sender === 'caller' ? 'the entry that its caller called' : 'an entry that it was forwarded to';
	test(`a stream that broke off gets the text of the next engine's error, or ends as complete, at ${place}`, async t => {
		const deployment = await RoutesDeployment.start({writers: ['w1', 'w2']});
		t.teardown(async () => deployment.close());
		const options = {path: '/drafts/1', headers: streamHeaders};
		for (const {status, contentType} of answers) {
			const name = `status ${status} and type ${contentType}`;
			for (const engine of deployment.writers) {
				engine.manner = 'cut';
				engine.resumeAnswer = {status, contentType, text: status === 204 ? '' : errorText};
				engine.receivedRequests.length = 0;
			}

			// An engine whose connection broke is not used until its next report; both have to be in use for a stream to be resumed.
			const breaksOff = async () => {
				const res = await (sender === 'caller' ? deployment.call(options) : deployment.forward(options));
				const {text, complete} = await readToEnd(res);
				t.false(res.statusCode === 200 && (complete || text.includes('engine failed') || text.includes('HTTP/1.1')), name);
				return sender === 'entry' ? res.statusCode === 200 : deployment.writers.some(({receivedRequests}) => receivedRequests.some(({headers}) => headers['last-event-id'] === '2'));
			};

			t.true(await deployment.waitUntil(breaksOff), name); // eslint-disable-line no-await-in-loop
		}
	});
}

test('an error of the engine is passed on as the answer to a caller that takes up its stream anew, not as a stream', async t => {
	const deployment = await RoutesDeployment.start({writers: ['w1']});
	t.teardown(async () => deployment.close());
	const headers = {...streamHeaders, 'request-identifier': 'first'};
	const whole = await deployment.call({path: '/drafts/1', headers});
	await whole.body.dump();
	deployment.writers[0]!.resumeAnswer = {status: 400, contentType: 'text/plain', text: errorText};
	const takenUp = async () => {
		const res = await deployment.call({path: '/drafts/1', headers: {...streamHeaders, 'last-event-id': '2', resumes: 'first'}});
		const text = await res.body.text();
		return res.statusCode === 400 && text === errorText;
	};

	t.true(await deployment.waitUntil(takenUp));
});
