import test from 'ava';
import fc from 'fast-check';
import {ledgerFixture} from './ledger-fixture.ts';

const node = fc.integer({min: 0, max: 3});
const keeper = fc.integer({min: 0, max: 2});

/** One event of a random schedule (a claim, a fault of a node or link, or an outage of the log) and the time until the next one. */
const step = fc.record({
	op: fc.oneof(
		{
			weight: 8, arbitrary: fc.record({
				type: fc.constant('claim' as const),
				node,
				key: fc.integer({min: 0, max: 2}),
				ending: fc.constantFrom('done' as const, 'done' as const, 'unknown' as const, 'release' as const, 'never' as const),
				endMs: fc.constantFrom(10, 500, 5000),
			}),
		},
		{
			weight: 2, arbitrary: fc.record({
				type: fc.constant('restart' as const), node, downMs: fc.constantFrom(0, 1000, 8000), diskLost: fc.constant(false),
			}),
		},
		{
			weight: 1, arbitrary: fc.record({
				type: fc.constant('restart' as const), node: fc.constant(0), downMs: fc.constantFrom(0, 8000), diskLost: fc.constant(true),
			}),
		},
		{weight: 2, arbitrary: fc.record({type: fc.constant('freeze' as const), node, ms: fc.constantFrom(300, 2000, 20_000)})},
		{
			weight: 2, arbitrary: fc.record({
				type: fc.constant('cut' as const), from: node, to: node, ms: fc.constantFrom(400, 5000),
			}),
		},
		{weight: 1, arbitrary: fc.record({type: fc.constant('log' as const), ms: fc.constantFrom(2000, 15_000)})},
	),
	waitMs: fc.constantFrom(0, 0, 1, 5, 40, 300, 2000, 6000),
});
const diskStep = fc.record({
	op: fc.record({type: fc.constant('disk' as const), ms: fc.constantFrom(300, 3000, 20_000)}),
	waitMs: fc.constantFrom(0, 5, 40, 300),
});
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value | (typeof diskStep extends fc.Arbitrary<infer DiskValue> ? DiskValue : never) : never;

function runSchedule(steps: readonly Step[], options: Parameters<typeof ledgerFixture>[0]) {
	const fixture = ledgerFixture(options);
	const {names, network, cuts, log} = fixture;
	log.missed = options?.loss ?? 0;
	const scheduledEvents: Array<{at: number; run: () => void}> = [];
	const advance = (ms: number) => {
		const end = network.now + ms;
		for (const event of scheduledEvents.filter(({at}) => at <= end).sort((a, b) => a.at - b.at)) {
			scheduledEvents.splice(scheduledEvents.indexOf(event), 1);
			fixture.advance(Math.max(0, event.at - network.now));
			event.run();
		}

		fixture.advance(Math.max(0, end - network.now));
	};

	const scheduleAfter = (ms: number, run: () => void) => scheduledEvents.push({at: network.now + ms, run});
	advance(3000);
	for (const {op, waitMs} of steps) {
		switch (op.type) {
			case 'claim': {
				fixture.claim(names[op.node]!, `key-${op.key}`, op);
				break;
			}

			case 'restart': {
				const name = names[op.node]!;
				fixture.stop(name);
				scheduleAfter(op.downMs, () => {
					if (!fixture.processes.has(name)) {
						fixture.start(name, op);
					}
				});
				break;
			}

			case 'freeze': {
				fixture.freeze(names[op.node]!);
				scheduleAfter(op.ms, () => {
					fixture.thaw(names[op.node]!);
				});
				break;
			}

			case 'cut': {
				const cut = `${names[op.from]}>${names[op.to]}`;
				cuts.add(cut);
				scheduleAfter(op.ms, () => cuts.delete(cut));
				break;
			}

			case 'disk': {
				network.fullDisks.add(names[0]!);
				scheduleAfter(op.ms, () => network.fullDisks.delete(names[0]!));
				break;
			}

			case 'log': {
				log.decides = false;
				scheduleAfter(op.ms, () => {
					log.decides = true;
				});
				break;
			}
		}

		advance(waitMs);
	}

	advance(80_000);
	return fixture;
}

for (const {title, options, arbitrary} of [
	{title: 'links without loss', options: {}, arbitrary: step},
	{title: 'links that lose, duplicate and reorder messages', options: {loss: 0.15}, arbitrary: step},
	{title: 'full disks', options: {}, arbitrary: fc.oneof({weight: 5, arbitrary: step}, {weight: 1, arbitrary: diskStep})},
]) {
	test(`no two requests with the same key run under random crashes, freezes, cut links and restarts: ${title}`, t => {
		let granted = 0;
		fc.assert(fc.property(fc.array<Step>(arbitrary, {minLength: 5, maxLength: 30}), fc.nat(), (steps, seed) => {
			const {problems, runs, outcomes} = runSchedule(steps, {...options, seed});
			granted += runs.size;
			const refused = [...outcomes].filter(([, {type}]) => type !== 'granted').map(([requestId]) => requestId);
			const ran = new Set([...runs.values()].flat());
			t.deepEqual([...problems, ...refused.filter(requestId => ran.has(requestId))], []);
		}), {seed: 4, numRuns: 400});
		t.true(granted > 400);
	});
}

test('after faults that lose no two keepers at once, new keys are granted and old ones are still known', t => {
	fc.assert(fc.property(fc.array(step.filter(({op}) => op.type !== 'restart'), {maxLength: 15}), keeper, fc.boolean(), (steps, restarted, diskLost) => {
		const {names, stop, start, advance, ask, runs, problems} = runSchedule(steps, {seed: steps.length});
		stop(names[restarted]!);
		start(names[restarted]!, {diskLost: diskLost && restarted === 0});
		advance(10_000);
		t.is(ask(names[1]!, 'new'), 'granted');
		t.is(ask(names[3]!, 'new'), 'replay');
		for (const key of runs.keys()) {
			t.true(['replay', 'may-have-run', 'in-progress'].includes(ask(names[2]!, key)!));
		}

		t.deepEqual(problems, []);
	}), {seed: 5, numRuns: 60});
});
