import test from 'ava';
import fc from 'fast-check';
import {readReport} from '../../platform/read-report.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import type {TargetId} from '../../src/core/ids/target-id.ts';

const targetId = toId<TargetId>('i-1');
const whole = {
	service: 'huvo11a', address: '10.128.0.9:8080', zone: 'muscat-a', version: 'v1', slots: 64, state: 'ready', 'cold-remaining-ms': 250, sequence: 4, born: 1700,
};

test('a complete report is converted to a TargetReport', t => {
	t.deepEqual(readReport(targetId, JSON.stringify(whole)), {
		targetId, service: 'huvo11a', address: '10.128.0.9:8080', zone: 'muscat-a', softwareVersion: 'v1', slots: 64, state: 'serving', coldMs: 250, goneInMs: undefined, born: 1700, sequence: 4,
	} as unknown as ReturnType<typeof readReport>);
	t.is(readReport(targetId, JSON.stringify({...whole, state: 'draining', 'remaining-ms': 900}))?.goneInMs, 900);
});

test('a report with a missing or invalid field is rejected', t => {
	const needed = ['service', 'address', 'zone', 'slots', 'state', 'sequence'] as const;
	for (const field of needed) {
		const {[field]: _, ...rest} = whole;
		t.is(readReport(targetId, JSON.stringify(rest)), undefined, `without ${field}`);
		t.is(readReport(targetId, JSON.stringify({...whole, [field]: {odd: true}})), undefined, `${field} of another type`);
	}

	t.is(readReport(targetId, JSON.stringify({...whole, state: 'asleep'})), undefined);
	t.is(readReport(targetId, JSON.stringify({...whole, address: 'engine:80'})), undefined);
});

test('arbitrary input never throws, and only complete reports are accepted', t => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.record({...Object.fromEntries(Object.keys(whole).map(key => [key, fc.anything()]))}).map(value => JSON.stringify(value))), body => {
		const report = readReport(targetId, body);
		return report === undefined || (Number.isInteger(report.sequence) && report.slots > 0);
	}), {seed: 9, numRuns: 500});
	t.pass();
});
