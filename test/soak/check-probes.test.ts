import test from 'ava';
import {checkProbes} from './check-probes.ts';
import type {ProbeRecord} from './probe-record.ts';

/** A probe of the route added in version 30, which was acknowledged in time, as version 31 was sent. */
function probe(overrides: Partial<ProbeRecord> = {}): ProbeRecord {
	return {
		entry: 'regina-1', asked: {added: 30}, sentAt: 60_000, due: 30, shown: 0, calm: true, newestSent: 31, status: 200, servedBy: 'press', ...overrides,
	};
}

const refused = {status: 404, servedBy: undefined};
const violations: Readonly<Record<string, Partial<ProbeRecord>>> = {
	'an added route is refused after the bound': refused,
	'an added route is refused that was served before': {...refused, due: 0, shown: 30},
	'a dropped route is served after the bound': {asked: {added: 10}},
	'a moved route is served by the old service': {asked: 'moved', servedBy: 'desk', due: 29},
	'a moved route is refused as unknown': {asked: 'moved', ...refused},
	'the route of an invalid configuration is served': {asked: 'invalid', due: 0},
};
const allowed: Readonly<Record<string, Partial<ProbeRecord>>> = {
	'an added route is served': {},
	'an added route is refused before the bound': {...refused, due: 29},
	'an added route is refused as a newer version may have dropped it': {...refused, newestSent: 50},
	'a dropped route is served before the bound': {asked: {added: 10}, due: 29},
	'a moved route is served by the service of a version that may be in force': {asked: 'moved', servedBy: 'desk', newestSent: 32},
	'an entry refuses since it can serve nothing': {status: 503, servedBy: undefined},
	'an entry does not answer': {status: undefined, servedBy: undefined},
};

for (const [name, overrides] of Object.entries(violations)) {
	test(`a soak reports it if ${name}`, t => {
		t.is(checkProbes([probe(overrides)], 1).length, 1);
	});
}

for (const [name, overrides] of Object.entries(allowed)) {
	test(`a soak allows that ${name}`, t => {
		t.deepEqual(checkProbes([probe(overrides)], 1), []);
	});
}

test('a soak reports it if added routes are served far less often than the first ones', t => {
	const served = [probe(), probe(), probe()];
	const failed = Array.from({length: 20}, () => probe({status: 503, servedBy: undefined}));
	t.is(checkProbes([...served, ...failed], 1).length, 1);
	t.deepEqual(checkProbes([...served, ...failed], 0.3), []);
});
