import test from 'ava';
import {RoomForecast} from '../../../src/core/admission/room-forecast.ts';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';

const at = (ms: number) => ms as Millis;
const attempt = (number: number) => number as AttemptNumber;

/** A forecast that knows that a call takes 100 ms, with `held` calls at targets. */
function forecast(held: number): RoomForecast {
	const room = new RoomForecast();
	for (let number = 1; number <= held; number++) {
		room.recordSent(attempt(number), 1, at(100));
	}

	room.recordSent(attempt(1000), 1, at(0));
	room.recordServed(attempt(1000), at(100));
	room.recordReleased(attempt(1000));
	return room;
}

test('requests are refused before anything is known of the service', t => {
	const room = new RoomForecast();
	room.recordSent(attempt(1), 1, at(0));
	t.is(room.waitMs({workAhead: 50, waiting: 50}), 0);
});

test('the predicted wait ignores the queue, or how much is served at once', t => {
	t.is(forecast(10).waitMs({workAhead: 20, waiting: 20}), 205);
	t.is(forecast(20).waitMs({workAhead: 20, waiting: 20}), 102.5);
});

test('a service that loses half of its targets at once is still predicted to serve as before', t => {
	const room = forecast(10);
	for (let number = 1; number <= 5; number++) {
		room.recordReleased(attempt(number));
	}

	t.is(room.waitMs({workAhead: 20, waiting: 20}), 410);
});

test('work that waits at other entries does not lengthen the predicted wait', t => {
	const room = forecast(10);
	const alone = room.waitMs({workAhead: 10, waiting: 10, region: {inFlight: 100, waiting: 10}});
	const crowded = room.waitMs({workAhead: 10, waiting: 10, region: {inFlight: 100, waiting: 100}});
	t.is(alone, 10.5);
	t.true(crowded > 5 * alone * 0.9 && crowded < 10.5 * 10);
});
