import test from 'ava';
import fc from 'fast-check';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {AddressBook} from '../../../src/core/membership/address-book.ts';
import {MemberTable} from '../../../src/core/membership/member-table.ts';
import type {MemberUpdate} from '../../../src/core/membership/member-update.ts';

const nodeId = toId<NodeId>('m');
const rank = {alive: 0, suspect: 1, dead: 2};

/** Records of one member that can be gossiped: `draining` follows from the sequence, `revision` from incarnation and beat. */
const updates = fc.record({
	incarnation: fc.integer({min: 1, max: 3}),
	sequence: fc.integer({min: 0, max: 4}),
	state: fc.constantFrom('alive', 'suspect', 'dead'),
	beat: fc.integer({min: 0, max: 4}),
}).map(({incarnation, sequence, state, beat}): MemberUpdate => ({
	nodeId,
	incarnation,
	sequence,
	state,
	beat,
	draining: sequence % 2 === 1,
	revision: (incarnation * 10) + beat,
	load: 0,
	info: {
		nodeId, region: toId('r'), zone: toId('z'), roles: ['entry'], callerAddress: '', peerAddress: '', weight: 1, hasDisk: false, incarnation,
	},
}));

test('merging converges to the newest record in any order and with duplicates', t => {
	fc.assert(fc.property(fc.array(updates, {minLength: 1, maxLength: 20}), list => {
		const table = new MemberTable(new AddressBook([]));
		for (const update of list) {
			table.merge(update, 0 as Millis);
		}

		const newest = [...list].sort((a, b) => b.incarnation - a.incarnation || b.sequence - a.sequence || rank[b.state] - rank[a.state])[0]!;
		const beat = Math.max(...list.filter(({incarnation}) => incarnation === newest.incarnation).map(update => update.beat));
		const entry = table.get(nodeId)!;
		t.deepEqual(
			[entry.info.incarnation, entry.sequence, entry.state, entry.draining, entry.revision],
			[newest.incarnation, newest.sequence, newest.state, newest.draining, (newest.incarnation * 10) + beat],
		);
	}), {seed: 20, numRuns: 500});
});
