import test from 'ava';
import {request} from 'undici';
import {assertAlive} from '../fixtures/assert-alive.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';

const memoryMb = 350;
const descriptors = 200;
/** Values in a body, which has less than the 8,388,608 bytes that are allowed. */
const valueCount = 2_500_000;
const timeoutMs = 60_000;

const bodies: Readonly<Record<string, string>> = {
	'empty objects': `{"version":9,"routes":[${'{},'.repeat(valueCount)}{}],"services":[]}`,
	numbers: `{"version":9,"routes":[${'0,'.repeat(valueCount)}0],"services":[]}`,
	'lists in each other': '['.repeat(valueCount),
	'parts of one route': `{"version":9,"routes":[{"traffic-split":[${'0,'.repeat(valueCount)}0]}],"services":[]}`,
};

for (const [title, body] of Object.entries(bodies)) {
	// Guards against bodies whose values take thirty times their bytes once they are parsed.
	test(`a configuration of ${title} leaves the control node within its memory`, async t => {
		const deployment = await ProcessDeployment.start({memoryMb});
		t.teardown(async () => deployment.close());
		const statuses: number[] = [];
		for (let count = 0; count < 3; count++) {
			try {
				const res = await request(`http://127.0.0.1:${deployment.ports.operators}/configuration`, {method: 'PUT', body, headersTimeout: timeoutMs}); // eslint-disable-line no-await-in-loop
				await res.body.dump(); // eslint-disable-line no-await-in-loop
				statuses.push(res.statusCode);
			} catch {
				statuses.push(0);
			}
		}

		t.deepEqual(statuses, [400, 400, 400]);
		assertAlive(t, deployment, {memoryMb, descriptors});
		t.true(await deployment.isConfigured(), 'an ordinary change was not accepted');
	});
}
