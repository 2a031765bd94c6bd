import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ClaimStore} from '../../../src/core/ledger/claim-store.ts';
import {StateBudget} from '../../../src/core/memory/state-budget.ts';

const maxBytes = 1_000_000;
const maxAnswerBytes = 100_000;
const typeCharacters = 10_000;
const answers = 100;
const now = 0 as Millis;

// Guards against claims that are bounded by their number only, whatever their keys take.
test('claims with long keys are full at the bound of their memory, and none is forgotten', t => {
	const budget = new StateBudget(maxBytes);
	const store = new ClaimStore({budget});
	let stored = 0;
	while (!store.full && stored < 100_000) {
		stored += 1;
		store.put({
			key: `scope\n${String(stored).padEnd(256, 'k')}`, claimId: {coordinator: toId('entry-1'), incarnation: 1, number: stored}, fingerprint: 'f', state: 'claimed', keepMs: 60_000, ageMs: 0,
		}, now);
	}

	t.true(stored > 1000 && stored < 3000);
	t.is(store.size, stored);
	t.true(budget.bytes < 1.01 * maxBytes);
	store.clear();
	t.is(budget.bytes, 0);
	t.false(store.full);
});

// Guards against answers whose types take the memory that their bodies do not.
test('the types of stored answers count towards the bound of the answers', t => {
	const store = new ClaimStore({budget: new StateBudget(maxBytes), maxAnswerBytes});
	for (let number = 1; number <= answers; number++) {
		store.put({
			key: `key-${number}`,
			claimId: {coordinator: toId('entry-1'), incarnation: 1, number},
			fingerprint: 'f',
			state: 'done',
			keepMs: 60_000,
			ageMs: 0,
			answer: {status: 200, contentType: 'x'.repeat(typeCharacters), body: ''},
		}, now);
	}

	const kept = store.all(now).filter(({answer}) => answer !== undefined);
	t.is(store.size, answers);
	t.is(kept.length, maxAnswerBytes / typeCharacters);
});
