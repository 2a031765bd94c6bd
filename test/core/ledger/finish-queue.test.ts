import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {FinishQueue} from '../../../src/core/ledger/finish-queue.ts';
import type {LedgerMessage} from '../../../src/core/ledger/ledger-message.ts';

const maxAnswerBytes = 8_388_608;
const answerBytes = 300_000;
const outcomes = 100;
const retryMs = 300;
const region = toId<Region>('regina');
const keeper = toId<NodeId>('keeper-1');

// Guards against a process that ends out of memory on the answers that its keepers do not take.
test('outcomes that keepers do not take are delivered all the same, the oldest without their answers', t => {
	const sent: LedgerMessage[] = [];
	const queue = new FinishQueue({
		sets: new Map([[region, {epoch: 1, members: [keeper], earlier: []}]]) as unknown as ConstructorParameters<typeof FinishQueue>[0]['sets'],
		send(_to, message) {
			sent.push(message);
		},
	});
	for (let number = 1; number <= outcomes; number++) {
		queue.add({
			region, claimId: {coordinator: toId('entry-1'), incarnation: 1, number}, key: `key-${number}`, state: 'done', answer: {status: 200, contentType: 'text/plain', body: 'x'.repeat(answerBytes)},
		}, 0 as Millis);
	}

	sent.length = 0;
	queue.tick(retryMs as Millis);
	const finishes = sent.filter(message => message.type === 'finish');
	t.is(finishes.length, outcomes);
	const withAnswer = finishes.filter(({answer}) => answer !== undefined);
	t.is(withAnswer.length, Math.floor(maxAnswerBytes / answerBytes));
	t.is(withAnswer.at(-1)!.key, `key-${outcomes}`);
	t.true(finishes.every(({state}) => state === 'done'));
});
