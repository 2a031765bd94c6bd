import {Buffer} from 'node:buffer';
import test from 'ava';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

test('a configuration with bytes that are no UTF-8 is refused, not accepted and read back changed', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	const text = Buffer.from(platformConfiguration(2));
	text[text.indexOf('calls')] = 0xFF;
	t.is(await deployment.statusOf('PUT', '/configuration', text), 400);
	const {body} = await deployment.callControl('GET', '/configuration');
	t.is(body, platformConfiguration(1));
});
