import test from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const nesting = 2_000_000;

test('a report of many megabytes, such as a deeply nested one, is read whole and parsed', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	t.is(await deployment.statusOf('PUT', '/instances/odd', `{"models":${'['.repeat(nesting)}${']'.repeat(nesting)}}`), 413);
	t.is(await deployment.statusOf('PUT', '/instances/%0D%0Aodd', '{}'), 404);
});
