import test from 'ava';
import {PendingWrites} from '../../../src/core/common/pending-writes.ts';

const failedWrites = 1000;

// Guards against memory that grows for as long as a disk stays full.
test('failed rewrites of a journal leave nothing behind, and what waits for them runs once one succeeds', t => {
	const writes = new PendingWrites();
	const ran: string[] = [];
	writes.add(1);
	writes.whenSynced(() => ran.push('first'));
	for (let token = 2; token <= failedWrites; token++) {
		writes.add(token);
	}

	writes.whenSynced(() => ran.push('last'));
	t.is(writes.size, 2);
	writes.written(1);
	t.deepEqual(ran, ['first']);
	writes.add(failedWrites + 1);
	writes.written(failedWrites + 1);
	t.deepEqual(ran, ['first', 'last']);
	t.is(writes.size, 0);
	writes.whenSynced(() => ran.push('at once'));
	t.is(ran.length, 3);
});
