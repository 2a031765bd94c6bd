import test from 'ava';
import type {TargetRun} from '../fakes/target-run.ts';
import {judgeCut} from './check-lost.ts';
import type {PlannedRecord} from './planned-record.ts';

/** A stream that its entry broke off in the middle, 2 s after SIGTERM. */
const cut: PlannedRecord = {
	id: 's-1', path: '/long/120/1', entry: 'regina-1', sentAt: 9000, budgetMs: 12_000, endedAt: 12_000, outcome: 'broken', status: 200, events: 20,
};
const run: TargetRun = {
	key: 's-1', startedAt: 9010, progressAt: [9100, 10_000], endedAt: 10_500, end: 'cancelled',
};
const stops = [{entry: 'regina-1', at: 10_000}];
type Case = {readonly record?: Partial<PlannedRecord>; readonly runs?: readonly TargetRun[]};

const lost: Readonly<Record<string, Case>> = {
	'its target was given up': {},
	'no target got it, long after it was sent': {runs: []},
	'another entry stops and the target is still at work': {record: {entry: 'regina-2', endedAt: 15_500}, runs: [{...run, endedAt: 15_500}]},
	'it was sent late and the target is still at work': {record: {sentAt: 13_500, endedAt: 15_900}, runs: [{...run, startedAt: 13_510, endedAt: 15_900}]},
	'its target was given up before the last part of the grace period': {record: {endedAt: 15_500}},
};
const allowed: Readonly<Record<string, Case & {readonly verdict: ReturnType<typeof judgeCut>}>> = {
	'it was answered': {record: {outcome: 'answered'}, verdict: undefined},
	'the entry was gone': {record: {outcome: 'unreachable'}, runs: [], verdict: undefined},
	'it was not read': {record: {sentAt: 11_900}, runs: [], verdict: 'crossed the close'},
	'its target broke off': {runs: [{...run, end: 'broken off'}], verdict: 'broken off by the target'},
	'its time was up': {record: {endedAt: 21_000}, verdict: 'out of time'},
	'the target was still at work at the end of the grace period': {record: {endedAt: 15_700}, runs: [{...run, endedAt: 15_700}], verdict: 'at work at the end'},
};

for (const [name, {record, runs = [run]}] of Object.entries(lost)) {
	test(`a cut request is lost: ${name}`, t => {
		t.is(judgeCut({...cut, ...record}, runs, stops), 'lost');
	});
}

for (const [name, {record, runs = [run], verdict}] of Object.entries(allowed)) {
	test(`a cut request is not lost: ${name}`, t => {
		t.is(judgeCut({...cut, ...record}, runs, stops), verdict);
	});
}
