import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {OrganisationId} from '../../../src/core/ids/organisation-id.ts';
import {QuotaGate} from '../../../src/core/organisations/quota/quota-gate.ts';

const organisation = 'acme' as OrganisationId;
const quota = {
	unit: 'requests', perSecond: 10, burst: 20, defaultTokens: 0,
} as const;
const alone = {
	entries: 1, silent: 0, ageMs: 0, organisations: [],
};

function createGate(): QuotaGate {
	const gate = new QuotaGate({bounds: {windowMs: 8000, overage: 0.1, slack: 140_000}, run: 1, random: new SeededRandom(1)});
	gate.setQuotas([{name: organisation, quota}]);
	gate.update(alone, 0 as Millis);
	return gate;
}

/** Admits requests at once until one is refused. */
function admitAll(gate: QuotaGate, now: number) {
	for (let admitted = 0; admitted < 1000; admitted += 1) {
		const decision = gate.admit({organisation, cost: 1}, now as Millis);
		if (!decision.admitted) {
			return {admitted, retryAfterMs: decision.retryAfterMs};
		}
	}

	throw new Error('no request was refused');
}

/** Ticks and feeds as an entry gets them. */
function run(gate: QuotaGate, from: number, until: number): void {
	for (let now = from; now <= until; now += 50) {
		gate.tick(now as Millis);
		gate.update(alone, now as Millis);
	}
}

test('a quota of requests has no slack of tokens, and admits between the quota and the bound', t => {
	const {admitted} = admitAll(createGate(), 10);
	t.true(admitted >= 100 && admitted <= 110, `${admitted}`);
});

test('a refused request passes after the time that it was told, not before the window has moved on', t => {
	const gate = createGate();
	const {admitted, retryAfterMs} = admitAll(gate, 10);
	t.true(retryAfterMs >= 7000 && retryAfterMs <= 8000, `${retryAfterMs}`);
	run(gate, 50, 7900);
	t.false(gate.admit({organisation, cost: 1}, 7900 as Millis).admitted);
	run(gate, 7950, 9250);
	t.true(admitAll(gate, 9250).admitted >= admitted - 20);
});

test('a refund makes room for another request', t => {
	const gate = createGate();
	const first = gate.admit({organisation, cost: 1}, 10 as Millis);
	const {admitted} = admitAll(gate, 10);
	t.true(first.admitted);
	if (first.admitted) {
		gate.refund(first.charge, 20 as Millis);
		t.is(gate.demand(20 as Millis).organisations[0]!.slice(3).reduce((sum, amount) => Number(sum) + Number(amount), 0), admitted * 10_000);
	}
});

test('a clock that jumps lets nothing leave the window', t => {
	const gate = createGate();
	admitAll(gate, 10);
	gate.update(alone, 60_000 as Millis);
	t.is(admitAll(gate, 60_000).admitted, 0);
	gate.update(alone, 10 as Millis);
	t.is(admitAll(gate, 10).admitted, 0);
});

test('an entry without sums keeps to its equal share', t => {
	const gate = createGate();
	gate.update({...alone, entries: 10}, 10 as Millis);
	for (let now = 50; now <= 12_000; now += 50) {
		gate.tick(now as Millis);
	}

	const {admitted} = admitAll(gate, 12_000);
	t.true(admitted >= 9 && admitted <= 12, `${admitted}`);
});

test('a lower quota binds what was admitted before', t => {
	const gate = createGate();
	admitAll(gate, 10);
	gate.setQuotas([{name: organisation, quota: {...quota, perSecond: 1}}]);
	t.is(admitAll(gate, 20).admitted, 0);
	gate.setQuotas([]);
	t.true(gate.admit({organisation, cost: 1e9}, 30 as Millis).admitted, 'without a quota nothing is refused');
});
