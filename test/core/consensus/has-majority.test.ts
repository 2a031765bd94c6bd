import test from 'ava';
import {hasMajority} from '../../../src/core/consensus/has-majority.ts';
import {memberKey} from '../../../src/core/consensus/member-key.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {StorageId} from '../../../src/core/ids/storage-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';

const member = (name: string) => ({nodeId: toId<NodeId>(name), storageId: toId<StorageId>(`disk-${name}`)});
const members = (names: string) => [...names].map(name => member(name));
const keys = (names: string) => new Set(members(names).map(one => memberKey(one)));
const replacing = {voters: members('abcdef'), wanted: [], replacement: {leaving: member('a'), joining: member('f')}};

/** All sets of the six members, as names. */
const subsets = Array.from({length: 64}, (_, bits) => [...'abcdef'].filter((_name, position) => (bits >> position) % 2 === 1).join(''));

test('while one voter replaces another, a majority is needed with either of them', t => {
	t.true(hasMajority(replacing, keys('bcd')));
	t.true(hasMajority(replacing, keys('abcf')));
	t.false(hasMajority(replacing, keys('abc')));
	t.false(hasMajority(replacing, keys('bcf')));
	t.false(hasMajority(replacing, keys('abf')));
});

test('majorities during a replacement overlap with those before and after it, and with those of a build that counts six voters', t => {
	const during = subsets.filter(names => hasMajority(replacing, keys(names)));
	for (const voters of ['abcde', 'bcdef', 'abcdef']) {
		const other = subsets.filter(names => hasMajority({voters: members(voters), wanted: []}, keys(names)));
		t.deepEqual(during.filter(one => other.some(two => [...one].every(name => !two.includes(name)))), [], `voters ${voters}`);
	}

	t.deepEqual(during.filter(one => during.some(two => [...one].every(name => !two.includes(name)))), []);
});
