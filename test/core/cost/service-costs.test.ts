import test from 'ava';
import {CostBook} from '../../../src/core/cost/cost-book.ts';
import {ServiceCosts} from '../../../src/core/cost/service-costs.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import {regionLoadFixture} from '../../fixtures/region-load-fixture.ts';

const service = toId<ServiceName>('desk');
const prompt = {parts: [], promptTokens: 1000, outputTokens: 400};

test('the error of callers\' length hints is learned; memory is reserved for a long output, time for the median one', t => {
	const costs = new ServiceCosts();
	const hinted = {...prompt, lengthHint: 100};
	t.is(costs.outputTokens(hinted), 100);
	t.is(costs.outputTokens(hinted, {cautious: true}), 400, 'the maximum while the error is unknown');
	for (let stream = 0; stream < 80; stream++) {
		costs.recordOutput(hinted, [50, 100, 200][stream % 3]!);
	}

	t.true(Math.abs(costs.outputTokens(hinted) - 100) < 10);
	const cautious = costs.outputTokens(hinted, {cautious: true});
	t.true(cautious > 180 && cautious < 220, `${cautious} tokens`);
});

test('without a hint the announced maximum is corrected by the outputs seen', t => {
	const costs = new ServiceCosts();
	t.is(costs.outputTokens(prompt), 400);
	for (let stream = 0; stream < 80; stream++) {
		costs.recordOutput(prompt, 100);
	}

	t.true(Math.abs(costs.outputTokens(prompt) - 100) < 10);
});

test('a new entry predicts with what control tells of its region, until it has measured', t => {
	const book = new CostBook();
	const load = {
		service, targets: 2, inFlight: 0, waiting: 0, startMs: 0, extraMs: 0,
	};
	book.update([
		{...regionLoadFixture('regina', 'a'), loads: [{...load, costs: {prefillMsPer1000: 10, eventMs: 40, slots: 24}}]},
		{...regionLoadFixture('winnipeg', 'b'), loads: [{...load, costs: {prefillMsPer1000: 90}}]},
	], toId('regina'));
	const costs = book.of(service);
	t.is(costs.prefillMs.at(1), 0.01);
	t.is(costs.prefillMs.at(2), 0.02);
	t.is(costs.typicalSlots, 24);
	t.is(costs.summary(), undefined, 'it reports only its own measurements');
	costs.prefillMs.add(0.05, 1);
	t.true(costs.summary()!.prefillMsPer1000! > 12);
});

test('operators are told how far off predicted starts were, not the mean alone', t => {
	const book = new CostBook();
	t.deepEqual(book.startErrors(), [], 'nothing is told of services without measurements');
	const {startErrors} = book.of(service);
	for (let count = 0; count < 10; count++) {
		startErrors.add(count < 8 ? 1 : 4);
	}

	const [error] = book.startErrors();
	t.is(error!.median, 1);
	t.true(Math.abs(error!.p90 - 4) < 0.4);
});
