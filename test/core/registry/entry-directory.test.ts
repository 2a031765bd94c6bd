import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EntryDirectory} from '../../../src/core/registry/entry-directory.ts';
import type {EntryStatus} from '../../../src/core/registry/entry-status.ts';

const at = (ms: number) => ms as Millis;
const statusMs = 500;
/** Time without a status after which an entry is no longer listed, in milliseconds. */
const leaseMs = 2500;
const entry: EntryStatus = {
	nodeId: toId('10.1.0.9:7100'), region: toId('regina'), zone: toId('regina-a'), address: toId('10.1.0.9:80'), relayAddress: '10.1.0.9:7101', weight: 1, state: 'ready', loads: [],
};

/** Ticks every 50 ms after `from`, up to `to`. */
function run(directory: EntryDirectory, from: number, to: number): void {
	for (let now = from + 50; now <= to; now += 50) {
		directory.tick(at(now));
	}
}

function listed(directory: EntryDirectory, now: number): number {
	return directory.entriesFor({region: entry.region}, () => undefined, at(now)).length;
}

/** A directory with one entry, at time 0. */
function directoryOfOne(): EntryDirectory {
	const directory = new EntryDirectory();
	directory.update(entry, at(0));
	return directory;
}

test('an entry that sends no status is not listed once its lease is over', t => {
	const directory = directoryOfOne();
	run(directory, 0, leaseMs);
	t.is(listed(directory, leaseMs), 1);
	run(directory, leaseMs, leaseMs + 50);
	t.is(listed(directory, leaseMs + 50), 0);
});

for (const standstillMs of [1000, 2000, 5000]) {
	test(`entries whose statuses wait unread after a standstill of ${standstillMs} ms are listed`, t => {
		const directory = directoryOfOne();
		const stopped = 4 * statusMs;
		run(directory, 0, stopped);
		t.is(listed(directory, stopped + standstillMs), 1, 'a query is answered before the tick');
		directory.tick(at(stopped + standstillMs));
		t.is(listed(directory, stopped + standstillMs), 1);
	});

	test(`an entry that goes during a standstill of ${standstillMs} ms is not listed once its lease is over`, t => {
		const directory = directoryOfOne();
		directory.tick(at(standstillMs));
		run(directory, standstillMs, standstillMs + leaseMs);
		t.is(listed(directory, standstillMs + leaseMs), 0);
	});
}
