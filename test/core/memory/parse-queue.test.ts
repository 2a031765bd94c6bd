import test from 'ava';
import {ParseQueue} from '../../../src/core/memory/parse-queue.ts';

type Connection = {readonly name: string};

const lightMs = 10;

// Guards against ordinary requests that wait behind all slices of clients that send tiny chunks or requests without a pause.
test('a connection that has cost little comes before all expensive ones', t => {
	const queue = new ParseQueue<Connection>({lightMs});
	const heavy = Array.from({length: 100}, (_, index) => ({name: `heavy-${index}`}));
	for (const connection of heavy) {
		queue.charge(connection, lightMs + 1);
		queue.add(connection);
	}

	const ordinary = {name: 'ordinary'};
	queue.add(ordinary);
	t.is(queue.next(), ordinary);
	t.is(queue.size, heavy.length);
});

test('expensive connections go on beside a stream of ordinary ones, in turn', t => {
	const queue = new ParseQueue<Connection>({lightMs});
	const heavy = [{name: 'heavy-1'}, {name: 'heavy-2'}];
	for (const connection of heavy) {
		queue.charge(connection, lightMs + 1);
		queue.add(connection);
	}

	const taken: string[] = [];
	for (let index = 0; index < 16; index++) {
		queue.add({name: `ordinary-${index}`});
		const connection = queue.next()!;
		taken.push(connection.name);
		if (connection.name.startsWith('heavy')) {
			queue.add(connection);
		}
	}

	t.deepEqual(taken.filter(name => name.startsWith('heavy')), ['heavy-1', 'heavy-2', 'heavy-1', 'heavy-2']);
});

test('an expensive connection counts as ordinary again once it was idle', t => {
	const queue = new ParseQueue<Connection>({lightMs});
	const connection = {name: 'caller'};
	queue.charge(connection, lightMs + 1);
	t.true(queue.isHeavy(connection));
	queue.clear(connection);
	t.false(queue.isHeavy(connection));
});
