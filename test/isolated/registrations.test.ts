import test from 'ava';
import {Agent, request} from 'undici';
import {assertAlive} from '../fixtures/assert-alive.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';

const memoryMb = 210;
const heapMb = 64;
const descriptors = 200;
const connections = 16;

/** Of a target that leaves: it is no target for ordinary calls. */
const report = {
	service: 'desk', zone: 'regina-a', slots: 6, state: 'draining', 'cold-remaining-ms': 0, sequence: 1,
};

type Registrations = {readonly count: number; readonly identifier: (index: number) => string; readonly version: (index: number) => string};

const registrations: Readonly<Record<string, Registrations>> = {
	/** Within the 65,536 bytes of a report. */
	'long versions': {count: 3000, identifier: index => `junk-${index}`, version: index => `v-${index}`.padEnd(60_000, 'v')},
	'new identifiers': {count: 20_000, identifier: index => `junk-${index}`.padEnd(250, 'i'), version: () => 'v1'},
	'new versions of one target': {count: 20_000, identifier: () => 'junk', version: index => `v-${index}`.padEnd(250, 'v')},
};

for (const [title, {count, identifier, version}] of Object.entries(registrations)) {
	// Guards against control nodes, and entries that follow them, that remember whoever reports without a bound in bytes.
	test(`reports with ${title} leave the control node and the entry within their memory`, async t => {
		const deployment = await ProcessDeployment.start({memoryMb, heapMb});
		const dispatcher = new Agent({connections});
		t.teardown(async () => {
			await dispatcher.destroy();
			await deployment.close();
		});
		let next = 0;
		const sendReports = async () => {
			while (next < count) {
				const index = next;
				next += 1;
				try {
					// eslint-disable-next-line no-await-in-loop
					const res = await request(`http://127.0.0.1:${deployment.ports.operators}/instances/${identifier(index)}`, {
						dispatcher,
						method: 'PUT',
						body: JSON.stringify({
							...report, address: `127.9.${Math.floor(index / 250) % 250}.${index % 250}:9`, version: version(index), born: 1000 + index,
						}),
					});
					await res.body.dump(); // eslint-disable-line no-await-in-loop
				} catch {
					// The process may have ended.
				}
			}
		};

		await Promise.all(Array.from({length: connections}, sendReports));
		assertAlive(t, deployment, {memoryMb, descriptors});
		t.true(await deployment.isConfigured(), 'a change of the configuration was not accepted');
		t.true(await deployment.isCallServed(), 'an ordinary call was not answered');
	});
}
