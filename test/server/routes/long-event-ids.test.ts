import test from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const streamHeaders = {'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm'};

// Guards against an entry that keeps an id as long as an event for each stream, and could not send it to another engine.
test('a stream whose events have ids too long for a header is broken off, and never ends as complete', async t => {
	const deployment = await RoutesDeployment.start({writers: ['w1']});
	t.teardown(async () => deployment.close());
	const [engine] = deployment.writers;
	const read = async () => {
		const res = await deployment.call({path: '/drafts/1', headers: streamHeaders});
		try {
			return {status: res.statusCode, text: await res.body.text()};
		} catch {
			return {status: 0, text: ''};
		}
	};

	engine!.eventIdSuffix = 'i'.repeat(1000);
	const long = await read();
	t.is(long.status, 200);
	t.true(long.text.includes('data: piece 6'));
	engine!.eventIdSuffix = 'i'.repeat(2000);
	const tooLong = await read();
	t.not(tooLong.status, 200);
	t.false(tooLong.text.includes('data: piece'));
});
