import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {TargetRecord} from '../../../src/core/targets/target-record.ts';
import {announcementFixture} from '../../fixtures/announcement-fixture.ts';

const outcome = {
	result: 'whole', promptTokens: 100, cachedTokens: 0, outputTokens: 100, predictedOutputTokens: 100, firstByteMs: 100, totalMs: 1100,
} as const;

function recordWithEstimate(): TargetRecord {
	const record = new TargetRecord(announcementFixture(), 0 as Millis, true);
	record.speedEstimate.update(outcome, 'engine', 0);
	return record;
}

test('a target whose answers are overdue counts as slower until an answer completes', t => {
	const record = recordWithEstimate();
	record.inFlightHistory.start(100, 0 as Millis);
	record.updateSlowdown(500 as Millis);
	t.is(record.tokenMs, 10);
	record.updateSlowdown(20_000 as Millis);
	t.true(record.tokenMs! > 50);
	record.inFlightHistory.end(100, 20_000 as Millis);
	record.updateSlowdown(20_000 as Millis);
	t.is(record.tokenMs, 10);
});

test('requests of others are the reported load less the requests of this node at that time', t => {
	const record = recordWithEstimate();
	record.inFlightHistory.start(100, 0 as Millis);
	record.inFlightHistory.start(100, 50 as Millis);
	record.inFlightHistory.start(100, 900 as Millis);
	record.update(announcementFixture({sequence: 2, load: {running: 5, queued: 1, ageMs: 500}}), 1000 as Millis, true);
	t.is(record.othersInFlight, 4);
	t.is(record.sentSinceReport, 1);
	record.inFlightHistory.end(100, 1100 as Millis);
	t.is(record.othersInFlight, 4);
});

test('a new or restarted target starts with a low limit that rises with its answers', t => {
	const record = new TargetRecord(announcementFixture({capacity: 16}), 0 as Millis, true);
	t.is(record.limit, 2);
	for (let index = 0; index < 20; index++) {
		record.speedEstimate.update(outcome, 'engine', 0);
	}

	t.is(record.limit, 16);
	record.update(announcementFixture({capacity: 16, incarnation: 2}), 0 as Millis, true);
	t.is(record.limit, 2);
});

test('the fair share is 0 if there are more entries than slots', t => {
	const record = new TargetRecord(announcementFixture({capacity: 4, load: {running: 4, queued: 0, ageMs: 0}}), 0 as Millis, true);
	record.entryCount = 2;
	t.is(record.limit, 2);
	record.entryCount = 5;
	t.is(record.limit, 0);
});
