import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ClaimLedger} from '../../../src/core/ledger/claim-ledger.ts';
import type {KeeperSet} from '../../../src/core/ledger/keeper-set.ts';
import type {LedgerMessage} from '../../../src/core/ledger/ledger-message.ts';
import type {LedgerRecord} from '../../../src/core/ledger/ledger-record.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

const region = toId<Region>('home');
const [a, b, c] = ['a', 'b', 'c'].map(name => toId<NodeId>(name)) as [NodeId, NodeId, NodeId];
const now = 1000 as Millis;

function keeperSet(epoch: number, members: readonly NodeId[], previous: readonly NodeId[] = []): KeeperSet {
	return {
		region, epoch, members, incarnations: Object.fromEntries(members.map(member => [member, 1])), previous, earlier: [],
	};
}

/** Keeper `a` with a disk, active in epoch 1 together with `c`. */
function keeper(records: readonly LedgerRecord[] = []) {
	const outbox = new RecordingOutbox();
	const ledger = new ClaimLedger({
		self: a, region, incarnation: 1, hasDisk: true, loadedJournal: {status: records.length > 0 ? 'intact' : 'missing', records}, outbox, membership: {node: () => undefined, nodes: () => []}, now,
	});
	const journal: LedgerRecord[] = [...records];
	const sync = () => {
		for (const {records: written, rewrite, token} of outbox.takeWrites()) {
			journal.splice(0, rewrite ? journal.length : 0);
			journal.push(...written as LedgerRecord[]);
			ledger.written(token, now);
		}
	};

	/** Messages sent since the last call. */
	const sent = () => outbox.takeSent().map(({message}) => message.body as LedgerMessage);
	ledger.applyKeeperSet(keeperSet(1, [a, c]), now);
	sync();
	return {
		ledger, journal, sync, sent, outbox,
	};
}

function claim(number: number, epoch = 1): LedgerMessage {
	return {
		type: 'claim', region, epoch, claimId: {coordinator: b, incarnation: 1, number}, key: 'k', fingerprint: 'f', keepMs: 100_000,
	};
}

const replyTypes = (messages: readonly LedgerMessage[]) => messages.map(message => message.type === 'claim-reply' ? message.reply.type : message.type);

test('a claim is accepted only once it is synced', t => {
	const {ledger, sync, sent} = keeper();
	ledger.handle(b, claim(1), now);
	ledger.handle(b, claim(1), now);
	t.deepEqual(sent(), []);
	sync();
	t.deepEqual(replyTypes(sent()), ['accepted']);
});

test('claims are transferred to the next set only after the seal is synced, and none is accepted in the old epoch after that', t => {
	const {ledger, journal, sync, sent} = keeper();
	ledger.handle(b, claim(1), now);
	sync();
	sent();
	ledger.handle(b, {
		type: 'take-over', set: keeperSet(2, [b], [a, c]), epoch: 1, cursor: 0,
	}, now);
	t.deepEqual(sent(), []);
	sync();
	t.deepEqual(sent().flatMap(message => message.type === 'state' ? message.claims.map(({key}) => key) : message.type), ['k']);
	ledger.handle(b, {...claim(2), key: 'other'} as LedgerMessage, now);
	t.deepEqual(replyTypes(sent()), ['not-ready']);
	const restarted = keeper(journal);
	restarted.ledger.handle(b, {...claim(2), key: 'other'} as LedgerMessage, now);
	t.deepEqual(replyTypes(restarted.sent()), ['not-ready']);
});

test('a fenced claim is refused, also after a restart', t => {
	const {ledger, journal, sync, sent} = keeper();
	ledger.handle(c, {
		type: 'fence', region, epoch: 1, key: 'k', claimId: {coordinator: b, incarnation: 1, number: 1},
	}, now);
	t.deepEqual(sent(), []);
	sync();
	t.deepEqual(sent().map(message => message.type === 'fence-reply' && message.held), [false]);
	ledger.handle(b, claim(1), now);
	t.deepEqual(replyTypes(sent()), ['fenced']);
	const restarted = keeper(journal);
	restarted.ledger.handle(b, claim(1), now);
	t.deepEqual(replyTypes(restarted.sent()), ['fenced']);
});

test('a delayed copy of a released claim does not claim the key again', t => {
	const {ledger, sync, sent} = keeper();
	ledger.handle(b, {
		type: 'finish', region, claimId: {coordinator: b, incarnation: 1, number: 1}, key: 'k', state: 'released',
	}, now);
	ledger.handle(b, claim(1), now);
	ledger.handle(c, claim(2), now);
	sync();
	t.deepEqual(replyTypes(sent()).sort(), ['accepted', 'fenced', 'finish-reply']);
});

test('a coordinator that was paused beyond the claim timeout grants nothing, even if all keepers accepted', t => {
	const {ledger, sync} = keeper();
	const requestId = toId<RequestId>('r');
	ledger.claim({
		requestId, scope: 's', organisation: toId('o'), idempotencyKey: 'k', fingerprint: 'f', homeRegion: region, keepMs: 100_000, keepBytes: 100,
	}, now);
	sync();
	const late = now + 5000 as Millis;
	ledger.handle(c, {
		type: 'claim-reply', claimId: {coordinator: a, incarnation: 1, number: 1}, epoch: 1, reply: {type: 'accepted'},
	}, late);
	ledger.tick(late);
	t.deepEqual(ledger.takeOutcomes().map(({outcome}) => outcome.type), ['unavailable']);
});

// Guards against refused orders whose cause no log tells.
test('a claim that its keepers did not accept in time is logged with the keepers that answered', t => {
	const {ledger, sync, outbox} = keeper();
	ledger.claim({
		requestId: toId<RequestId>('r'), scope: 's', organisation: toId('o'), idempotencyKey: 'k', fingerprint: 'f', homeRegion: region, keepMs: 100_000, keepBytes: 100,
	}, now);
	sync();
	ledger.tick(now + 5000 as Millis);
	t.deepEqual(outbox.events, [{
		event: 'claim-unavailable', fields: {
			request: 'r', region, epoch: 1, keepers: [a, c], answers: {a: 'accepted'},
		},
	}]);
});
