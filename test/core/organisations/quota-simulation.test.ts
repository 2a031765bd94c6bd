import test from 'ava';
import type {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {simulateQuotas} from './quota-simulation.ts';
import type {SimulatedOrganisation} from './simulated-organisation.ts';

const quota = {
	unit: 'tokens', perSecond: 600_000, burst: 600_000, defaultTokens: 0,
} as const;
const cost = 12_000;
const anyEntry = (_: number, random: SeededRandom, entries: number) => Math.floor(random.next() * entries);
const moving = (ms: number, random: SeededRandom, entries: number) => {
	const region = Math.floor(ms / 3000) % 3;
	return ((Math.floor(random.next() * entries / 3) * 3) + region) % entries;
};

const underQuota: Omit<SimulatedOrganisation, 'pick'> = {
	quota, cost, load: () => 1.2, most: 0.95,
};
const durationMs = 20_000;

for (const entries of [6, 60]) {
	test(`with ${entries} entries an organisation under its quota is not refused, wherever its demand rises from nothing`, t => {
		for (const [seed, pick] of [anyEntry, () => 0].entries()) {
			const [result] = simulateQuotas({
				entries, seed, durationMs, organisations: [{...underQuota, pick}],
			});
			t.is(result!.refused, 0);
		}
	});

	test(`with ${entries} entries at most 0.01 is refused of demand under the quota that moves between regions at once`, t => {
		const [result] = simulateQuotas({
			entries, seed: 1, durationMs, organisations: [{...underQuota, pick: moving}],
		});
		t.true(result!.refused <= 0.01 * result!.asked, `${result!.refused} of ${result!.asked}`);
	});

	test(`with ${entries} entries three times the quota after a calm time stays within the bound of each window`, t => {
		const [result] = simulateQuotas({
			entries, seed: 1, durationMs, organisations: [{
				quota, cost, load: ms => ms < 9000 ? 0.9 : 3, pick: anyEntry,
			}],
		});
		t.true(result!.worstWindow <= 1, `${result!.worstWindow}`);
	});

	test(`with ${entries} entries ten times the quota costs another organisation nothing`, t => {
		const [, other] = simulateQuotas({
			entries, seed: 1, durationMs, organisations: [{
				quota, cost, load: () => 10, pick: anyEntry,
			}, {...underQuota, pick: anyEntry}],
		});
		t.is(other!.refused, 0);
	});
}

test('restarts, standstills, clocks that jump and a cut region do not let more through; without a cut nothing under the quota is refused', t => {
	const faults = [
		{
			kind: 'restart', entry: 1, at: 5000, until: 6000,
		}, {
			kind: 'stall', entry: 2, at: 6000, until: 8000,
		}, {
			kind: 'step', entry: 3, at: 7000, until: 12_000,
		},
	] as const;
	const [steady] = simulateQuotas({
		entries: 60, seed: 1, durationMs, faults, organisations: [{...underQuota, pick: anyEntry}],
	});
	t.is(steady!.refused, 0);
	const [hot] = simulateQuotas({
		entries: 60, seed: 1, durationMs, faults: [...faults, {kind: 'cut', at: 10_000, until: 15_000}], organisations: [{
			quota, cost, load: () => 1.5, pick: anyEntry,
		}],
	});
	t.true(hot!.worstWindow <= 1, `${hot!.worstWindow}`);
});
