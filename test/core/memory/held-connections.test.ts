import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {ConnectionKind} from '../../../src/core/memory/connection-kind.ts';
import {HeldConnections} from '../../../src/core/memory/held-connections.ts';

const maxCount = 100;

function start(...kinds: readonly ConnectionKind[]) {
	const held = new HeldConnections<string>(maxCount);
	for (const kind of kinds) {
		held.open(kind);
	}

	let now = 0;
	return {
		held,
		wait(ms: number) {
			now += ms;
		},
		add(connection: string, {kind = kinds[0]!, address = 'one'}: {kind?: ConnectionKind; address?: string} = {}) {
			now += 1;
			return held.add(connection, {kind, address}, now as Millis);
		},
		set(connection: string, stage: Parameters<typeof held.set>[1]) {
			now += 1;
			held.set(connection, stage, now as Millis);
		},
	};
}

test('the connection that has waited longest for its first request is closed first', t => {
	const {held, add, set, wait} = start('callers');
	for (let index = 0; index < maxCount; index++) {
		t.is(add(`c${index}`), undefined);
	}

	set('c0', 'busy');
	set('c1', 'idle');
	wait(1000);
	t.is(add('later'), 'c2');
	t.is(held.size, maxCount);
});

// Guards against clients that keep connections after a request and so leave no other time for its first one.
test('a new connection is closed for another one only if no other is idle', t => {
	const {add, set} = start('callers');
	for (let index = 0; index < maxCount; index++) {
		add(`c${index}`);
		set(`c${index}`, index < 2 ? 'idle' : 'busy');
	}

	t.is(add('first'), 'c0');
	t.is(add('second'), 'c1');
	t.is(add('third'), 'first');
});

test('then the one that has been idle longest, then one whose body is not whole; one with a request in progress never', t => {
	const {held, add, set} = start('callers');
	for (let index = 0; index < maxCount; index++) {
		add(`c${index}`);
		set(`c${index}`, index === 10 || index === 30 ? 'idle' : (index === 20 ? 'receiving' : 'busy'));
	}

	set('c10', 'busy');
	set('c10', 'idle');
	for (const victim of ['c30', 'c10', 'c20']) {
		t.is(add(`after-${victim}`), victim);
		set(`after-${victim}`, 'busy');
	}

	t.is(add('refused'), 'refused');
	t.is(held.size, maxCount);
	held.delete('c50');
	t.is(add('taken'), undefined);
});

test('of several addresses the one with most connections in the stage loses one', t => {
	const {add, set} = start('callers');
	add('other', {address: 'two'});
	set('other', 'idle');
	for (let index = 1; index < maxCount; index++) {
		add(`c${index}`);
		set(`c${index}`, 'idle');
	}

	t.is(add('new', {address: 'three'}), 'c1');
	t.is(add('newer', {address: 'four'}), 'c2');
});

test('no kind takes what is reserved for the others, whatever its connections do', t => {
	const {held, add, set} = start('directory', 'operators');
	let accepted = 0;
	for (let index = 0; index < 2 * maxCount; index++) {
		const connection = `d${index}`;
		if (add(connection, {kind: 'directory', address: `address-${index}`}) !== connection) {
			accepted += 1;
			set(connection, 'busy');
		}
	}

	t.is(accepted, 70);
	for (let index = 0; index < 30; index++) {
		t.is(add(`o${index}`, {kind: 'operators'}), undefined);
	}

	t.is(add('o30', {kind: 'operators'}), 'o0');
	t.is(held.size, maxCount);
});

test('a kind that takes more than is reserved for it makes room for another', t => {
	const {add, set} = start('callers', 'entries');
	for (let index = 0; index < 70; index++) {
		add(`c${index}`);
		set(`c${index}`, 'idle');
	}

	for (let index = 0; index < 60; index++) {
		t.is(add(`e${index}`, {kind: 'entries'}), index < 30 ? undefined : `c${index - 30}`);
		set(`e${index}`, 'busy');
	}

	t.is(add('c70'), 'c30');
});
