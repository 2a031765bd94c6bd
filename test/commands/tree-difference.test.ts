import test from 'ava';
import {treeDifference} from '../../src/commands/tree-difference.ts';

const current = [
	{path: 'prairie', settings: {homeRegion: 'regina-a', callerKeys: {one: {organisation: 'clerks'}}}},
	{path: 'prairie/print', settings: {deadlineMs: 1000}},
];

test('parents are created first, settings that differ are set, and the rest is kept', t => {
	t.deepEqual(treeDifference(current, {
		'prairie/print/proofer': {model: 'proof-writer'},
		prairie: {homeRegion: 'regina-a', callerKeys: {two: {organisation: 'council'}}},
		'prairie/print': {deadlineMs: 2000},
	}, false), [
		{
			op: 'set', path: 'prairie', key: 'callerKeys/two', value: {organisation: 'council'},
		},
		{
			op: 'set', path: 'prairie/print', key: 'deadlineMs', value: 2000,
		},
		{op: 'create', path: 'prairie/print/proofer'},
		{
			op: 'set', path: 'prairie/print/proofer', key: 'model', value: 'proof-writer',
		},
	]);
});

test('with prune, settings and nodes that are not in the file are removed, children first', t => {
	t.deepEqual(treeDifference(current, {prairie: {homeRegion: 'regina-a'}}, true), [
		{op: 'unset', path: 'prairie', key: 'callerKeys/one'},
		{op: 'delete', path: 'prairie/print'},
	]);
	t.deepEqual(treeDifference(current, {}, true).filter(({op}) => op === 'delete').map(({path}) => path), ['prairie/print', 'prairie']);
});
