import test from 'ava';
import {checkRecords} from './check-records.ts';

type Checked = Parameters<typeof checkRecords>[0][number];
type Run = {readonly target: string; readonly sending?: number};

/** An order that is refused, sent again under its identifier, and served. */
function servedOrder(changes: Partial<Checked> = {}): Checked {
	return {
		id: 'r-1', kind: 'order', entry: {name: 'regina-2'}, sentAt: 1500, endAt: 1540, withoutRecentFault: true, outcome: 'served', status: 200,
		refusedSendings: [{entry: 'regina-1', sentAt: 1000, status: 503}], ...changes,
	};
}

function check(record: Checked, runs: readonly Run[]): string[] {
	return checkRecords([record], new Map([[record.id, runs]]));
}

const last = {target: 'd-1', sending: 2};
const refusedAgain: Partial<Checked> = {outcome: 'refused', status: 429};

const broken: Readonly<Record<string, {readonly changes?: Partial<Checked>; readonly runs: readonly Run[]; readonly problems: number}>> = {
	'an order ran by a sending that was refused, and not by the last one': {runs: [{target: 'd-1', sending: 1}], problems: 1},
	'an order ran by a sending that was refused, and by the last one': {runs: [{target: 'd-1', sending: 1}, last], problems: 2},
	'an order ran twice by its last sending': {runs: [last, {target: 'd-2', sending: 2}], problems: 1},
	'an order ran whose last sending was refused': {changes: refusedAgain, runs: [last], problems: 1},
	'an order ran by a sending that is not known, and one of its sendings was refused': {runs: [{target: 'd-1'}], problems: 1},
	'a stream that may not be taken up ran twice': {changes: {kind: 'note'}, runs: [last, {target: 'd-2', sending: 2}], problems: 1},
	'a call ran by a sending that was refused': {changes: {kind: 'call'}, runs: [{target: 'd-1', sending: 1}, last], problems: 1},
};

for (const [name, {changes, runs, problems}] of Object.entries(broken)) {
	test(`a soak reports it if ${name}`, t => {
		t.is(check(servedOrder(changes), runs).length, problems);
	});
}

const allowed: Readonly<Record<string, {readonly changes?: Partial<Checked>; readonly runs: readonly Run[]}>> = {
	'an order that was refused runs when it is sent again': {runs: [last]},
	'an order that is refused again does not run': {changes: refusedAgain, runs: []},
	'an order whose last sending broke off ran by it': {changes: {outcome: 'broken', status: undefined}, runs: [last]},
	'a call runs at two targets': {changes: {kind: 'call'}, runs: [last, {target: 'd-2', sending: 2}]},
};

for (const [name, {changes, runs}] of Object.entries(allowed)) {
	test(`a soak reports nothing if ${name}`, t => {
		t.deepEqual(check(servedOrder(changes), runs), []);
	});
}
