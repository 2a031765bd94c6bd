import test from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

/** Memory in which a control node keeps some hundred targets. */
const controlMemoryMb = 2;
const maxReports = 2000;

// Guards against a withdrawal that is acknowledged and not kept, so that a late report lists the target again.
test('a withdrawal that a control node has no memory for is not acknowledged, and that of a target it knows is', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1'], controlMemoryMb});
	t.teardown(async () => deployment.close());
	const report = (index: number) => JSON.stringify({
		service: 'desk', address: `127.9.${Math.floor(index / 250)}.${index % 250}:9`, zone: 'regina-a', version: 'v1', slots: 6, state: 'draining', 'cold-remaining-ms': 0, born: 1000, sequence: 1,
	});
	let index = 0;
	while (index < maxReports && await deployment.statusOf('PUT', `/instances/junk-${index}`, report(index)) === 200) { // eslint-disable-line no-await-in-loop
		index += 1;
	}

	t.true(index > 0 && index < maxReports, `${index} reports`);
	t.is(await deployment.statusOf('DELETE', '/instances/unknown'), 503);
	t.is(await deployment.statusOf('DELETE', '/instances/junk-0'), 200);
});
