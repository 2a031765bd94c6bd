import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ClaimCoordinator} from '../../../src/core/ledger/claim-coordinator.ts';
import type {ClaimId} from '../../../src/core/ledger/claim-id.ts';
import type {ClaimReply} from '../../../src/core/ledger/claim-reply.ts';
import type {LedgerMessage} from '../../../src/core/ledger/ledger-message.ts';

const tickMs = 50;
const region = toId<Region>('home');
const members = ['a', 'b'].map(name => toId<NodeId>(name));
/** A claim of a process that runs. */
const holder: ClaimId = {coordinator: toId('other'), incarnation: 7, number: 3};

/** An entry that has sent a claim to the keepers `a` and `b`. */
function claimingEntry() {
	const sent: LedgerMessage[] = [];
	const coordinator = new ClaimCoordinator({
		self: toId('self'),
		incarnation: 1,
		sets: new Map([[region, {
			region, epoch: 1, members, incarnations: {}, previous: [], earlier: [],
		}]]),
		send(_to, message) {
			sent.push(message);
		},
		running: () => false,
		onUnavailable() {
			// The outcome tells the same.
		},
	});
	let now = 1000 as Millis;
	const run = (ms: number) => {
		for (const end = now + ms; now < end;) {
			now = now + tickMs as Millis;
			coordinator.tick(now);
		}
	};

	run(tickMs);
	coordinator.claim({
		requestId: toId('r'), scope: 'print', organisation: toId('city'), idempotencyKey: 'k', fingerprint: 'f', homeRegion: region, keepMs: 86_400_000, keepBytes: 1000,
	}, now);
	const claimId: ClaimId = {coordinator: toId('self'), incarnation: 1, number: 1};
	return {
		run,
		/** Stands still; the tick that follows comes before any message. */
		standStill(ms: number) {
			now = now + ms as Millis;
			coordinator.tick(now);
		},
		reply(reply: ClaimReply, from: readonly NodeId[] = members) {
			for (const member of from) {
				coordinator.handleClaimReply(member, {
					type: 'claim-reply', claimId, epoch: 1, reply,
				}, now);
			}
		},
		answerQuery(status: Extract<LedgerMessage, {type: 'query-reply'}>['status']) {
			coordinator.handleQueryReply({type: 'query-reply', claimId: holder, status}, now);
		},
		answerFence(from: NodeId, held: boolean) {
			coordinator.handleFenceReply(from, {
				type: 'fence-reply', claimId: holder, epoch: 1, held,
			}, now);
		},
		sentTypes: () => new Set(sent.splice(0).map(({type}) => type)),
		outcomes: () => coordinator.takeOutcomes().map(({outcome}) => outcome.type === 'unavailable' ? `unavailable, ran ${outcome.ran}` : outcome.type),
	};
}

test('the status of the claim that holds the key counts though it waits unread after a standstill', t => {
	for (const [waitedMs, standstillMs] of [[50, 600], [50, 1400], [450, 600], [450, 1000]] as const) {
		const {run, standStill, reply, answerQuery, sentTypes, outcomes} = claimingEntry();
		reply({type: 'held', by: holder});
		run(waitedMs);
		sentTypes();
		standStill(standstillMs);
		t.false(sentTypes().has('fence'), `${waitedMs} ms before, ${standstillMs} ms`);
		answerQuery('running');
		t.deepEqual(outcomes(), ['in-progress'], `${waitedMs} ms before, ${standstillMs} ms`);
	}
});

test('replies to a fence count though they wait unread after a standstill', t => {
	for (const [waitedMs, standstillMs] of [[50, 600], [50, 1400], [450, 600], [450, 1000]] as const) {
		const {run, standStill, reply, answerQuery, answerFence, outcomes} = claimingEntry();
		reply({type: 'held', by: holder});
		answerQuery('forgotten');
		run(waitedMs);
		standStill(standstillMs);
		t.deepEqual(outcomes(), [], `${waitedMs} ms before, ${standstillMs} ms`);
		answerFence(members[0]!, false);
		reply({type: 'accepted'});
		t.deepEqual(outcomes(), ['granted'], `${waitedMs} ms before, ${standstillMs} ms`);
	}
});

test('a holder that does not answer is fenced within its time of running, whatever standstills come in between', t => {
	const {run, standStill, reply, sentTypes} = claimingEntry();
	reply({type: 'held', by: holder});
	run(200);
	standStill(600);
	sentTypes();
	run(50);
	t.false(sentTypes().has('fence'));
	run(100);
	t.true(sentTypes().has('fence'));
});
