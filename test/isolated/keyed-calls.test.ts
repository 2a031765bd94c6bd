import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {Agent, request} from 'undici';
import {processUsage} from '../fixtures/process-usage.ts';
import {Launcher} from '../harness/launcher.ts';
import {makeInstallationSpec} from '../harness/make-installation-spec.ts';

const memoryMb = 210;
const descriptors = 256;
const calls = 6000;
const connections = 64;
/** Longest key that an entry takes, in characters. */
const keyCharacters = 256;
/** Characters of a body, which the stand-in answers with their digest only. */
const bodyCharacters = 4000;
/** Time within which one call must be answered, in milliseconds; a call that is refused is made again. */
const answeredMs = 30_000;
const pollMs = 100;
const spec = makeInstallationSpec({entriesPerRegion: 1, proxies: false, shippedHeapMb: 192});

// Guards against claims, their answers and the outcomes that wait for keepers without a bound in bytes.
for (const [title, stopsKeepers] of [['with every keeper', false], ['while the keepers of another region have stopped', true]] as const) {
	test(`calls with keys of their own leave nodes with a settings tree within their memory ${title}`, async t => {
		const launcher = await Launcher.create(spec);
		t.teardown(async () => launcher.dispose({keepFolder: false}));
		await launcher.start();
		const [entry, ...others] = spec.nodes;
		const stopped = stopsKeepers ? others.slice(-1) : [];
		for (const {node} of stopped) {
			await launcher.processes.get(node)!.end('SIGKILL'); // eslint-disable-line no-await-in-loop
		}

		const dispatcher = new Agent({connections, pipelining: 1});
		t.teardown(async () => dispatcher.destroy());
		const order = async (key: string, homeRegion: string) => {
			try {
				const res = await request(`http://${launcher.address(entry!.node)}/s/pressdesk/orders`, {
					dispatcher,
					method: 'POST',
					headers: {
						authorization: `Bearer ${homeRegion}-home`, 'content-type': 'application/json', 'lovageferry-route': 'orders', 'idempotency-key': key,
					},
					body: JSON.stringify({order: key, text: 'x'.repeat(bodyCharacters)}),
				});
				await res.body.dump();
				return res.statusCode;
			} catch {
				return 0;
			}
		};

		const isAnswered = async (name: string) => {
			for (const until = performance.now() + answeredMs; performance.now() < until;) {
				if (await order(name, entry!.region) === 200) { // eslint-disable-line no-await-in-loop
					return true;
				}

				await delay(pollMs); // eslint-disable-line no-await-in-loop
			}

			return false;
		};

		// Nodes are ready before their region has keepers, and refuse such calls until then.
		t.true(await isAnswered('first'), 'no call was answered before the crowd');
		let next = 0;
		const statuses = new Map<number, number>();
		await Promise.all(Array.from({length: connections}, async () => {
			while (next < calls) {
				next += 1;
				const {region} = spec.nodes[next % spec.nodes.length]!;
				const status = await order(`${next}-`.padEnd(keyCharacters, 'k'), region); // eslint-disable-line no-await-in-loop
				statuses.set(status, (statuses.get(status) ?? 0) + 1);
			}
		}));
		t.log([...statuses]);
		for (const {node} of spec.nodes.filter(node => !stopped.includes(node))) {
			const {pid} = launcher.processes.get(node)!;
			const usage = pid === undefined ? undefined : processUsage(pid);
			t.log(`${node}: ${usage?.peakMb} MB, ${usage?.descriptors} descriptors`);
			t.true(usage !== undefined && usage.peakMb <= memoryMb, `${node}: ${usage?.peakMb} MB were resident`);
			t.true(usage !== undefined && usage.descriptors <= descriptors, `${node}: ${usage?.descriptors} descriptors were open`);
		}

		t.true(await isAnswered('ordinary'), 'an ordinary call was not answered');
	});
}
