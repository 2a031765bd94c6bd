import test from 'ava';
import {DeadlineQueue} from '../../../src/core/admission/deadline-queue.ts';
import type {QueuedRequest} from '../../../src/core/admission/queued-request.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';

type Fields = {readonly priority?: number; readonly onTimeUntil?: number; readonly deadlineAt?: number; readonly className?: string; readonly work?: number};

function request(item: string, {priority = 1, onTimeUntil = 500, deadlineAt = 5000, className = 'orders', work = 1}: Fields = {}): QueuedRequest<string> {
	return {
		item, priority, className, work, onTimeUntil: onTimeUntil as Millis, deadlineAt: deadlineAt as Millis, queuedAt: 0 as Millis, startMs: 0, waitMs: 0, forPause: false, bypasses: 0,
	};
}

function queueOf(...requests: ReadonlyArray<QueuedRequest<string>>): DeadlineQueue<string> {
	const queue = new DeadlineQueue<string>();
	for (const queued of requests) {
		queue.add(queued, 0 as Millis);
	}

	return queue;
}

const order = (queue: DeadlineQueue<string>, now = 0) => queue.ordered(now as Millis).map(({item}) => item).join(' ');

test('requests that can only be late keep those back that can still meet their objective', t => {
	const queue = queueOf(
		request('urgent', {priority: 0, onTimeUntil: 100}),
		request('slack', {onTimeUntil: 900}),
		request('tight', {onTimeUntil: 400}),
	);
	t.is(order(queue), 'urgent tight slack');
	t.is(order(queue, 200), 'tight slack urgent');
	t.is(order(queue, 950), 'urgent tight slack');
});

test('the work ahead of a request counts requests that go behind it', t => {
	const queue = queueOf(request('a', {onTimeUntil: 400, work: 3}), request('b', {onTimeUntil: 900, work: 5}), request('late', {onTimeUntil: -1, work: 7}));
	const ahead = (fields: Fields) => queue.workAhead(request('new', fields), 0 as Millis);
	t.is(ahead({onTimeUntil: 500}), 3);
	t.is(ahead({onTimeUntil: 1000}), 8);
	t.is(ahead({onTimeUntil: -5}), 15);
	t.is(ahead({priority: 0}), 0);
});

test('a class waits without bound while requests of another one come all the time', t => {
	const queue = queueOf(request('long', {priority: 2, className: 'long'}));
	const served: string[] = [];
	for (let turn = 0; turn < 12; turn++) {
		queue.add(request(`short${turn}`, {priority: 0, className: 'short'}), 0 as Millis);
		queue.add(request(`long${turn}`, {priority: 2, className: 'long'}), 0 as Millis);
		const [first] = queue.ordered(0 as Millis);
		queue.remove(first!);
		queue.recordPlaced(first!.className);
		served.push(first!.className);
	}

	t.is(served.filter(className => className === 'long').length, 3);
});

test('a class that was passed over before its last request left comes first when it waits again', t => {
	const queue = queueOf(request('other', {className: 'other'}));
	const long = request('long', {priority: 2, className: 'long'});
	queue.add(long, 0 as Millis);
	for (let turn = 0; turn < 5; turn++) {
		queue.recordPlaced('short');
	}

	queue.remove(long);
	queue.recordPlaced('other');
	queue.add(long, 0 as Millis);
	t.is(order(queue), 'other long');
});
