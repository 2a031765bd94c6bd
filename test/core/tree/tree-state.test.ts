import test from 'ava';
import fc from 'fast-check';
import type {TreeOperation} from '../../../src/core/tree/tree-operation.ts';
import {TreeState} from '../../../src/core/tree/tree-state.ts';
import {jsonCopy} from '../../fixtures/json-copy.ts';
import {makeChange} from './make-change.ts';

const path = {
	firm: 'prairie', deployment: 'prod', service: 'proofer', route: 'draft',
};
const key = (digit: string) => digit.repeat(64);
const create = (...paths: string[]): TreeOperation[] => paths.map(at => ({op: 'create', path: at}));
const set = (at: string, name: string, value: unknown): TreeOperation => ({
	op: 'set', path: at, key: name, value,
});

function makeTree(...more: TreeOperation[]): TreeState {
	const tree = new TreeState();
	const operations = [...create('prairie', 'prairie/prod', 'prairie/prod/proofer', 'prairie/prod/proofer/draft'), ...more];
	const problems = tree.apply(makeChange({operations}));
	if (problems.length > 0) {
		throw new Error(JSON.stringify(problems));
	}

	return tree;
}

function attempt(tree: TreeState, ...operations: TreeOperation[]) {
	return tree.apply(makeChange({number: tree.revision + 1, operations}));
}

test('a setting is inherited, overridden, and inherited again after unset', t => {
	const tree = makeTree(set('prairie', 'deadlineMs', 5000));
	t.is(tree.route(path)?.deadlineMs, 5000);
	t.is(tree.route(path)?.silenceMs, 20_000);
	attempt(tree, set('prairie/prod/proofer', 'deadlineMs', 9000));
	t.is(tree.route(path)?.deadlineMs, 9000);
	t.is(tree.resolve('prairie/prod')?.deadlineMs, 5000);
	attempt(tree, {op: 'unset', path: 'prairie/prod/proofer', key: 'deadlineMs'});
	t.is(tree.route(path)?.deadlineMs, 5000);
	t.is(tree.route({...path, route: 'none'}), undefined);
});

test('keyed settings are merged by subkey; the nearest node wins', t => {
	const tree = makeTree(
		set('prairie', `callerKeys/${key('a')}`, {organisation: 'regina'}),
		set('prairie', `callerKeys/${key('b')}`, {organisation: 'saskatoon'}),
		set('prairie/prod', `callerKeys/${key('a')}`, {organisation: 'winnipeg'}),
		set('prairie/prod', 'models/proof-7b', {replicas: 2, bytes: 10}),
	);
	const {callerKeys, models} = tree.route(path)!;
	t.is(callerKeys[key('a')]?.organisation, 'winnipeg');
	t.is(callerKeys[key('b')]?.organisation, 'saskatoon');
	t.is(models['proof-7b']?.replicas, 2);
	t.like(tree.callerKey(key('a')), {path: 'prairie', key: {organisation: 'regina'}});
	attempt(tree, {op: 'unset', path: 'prairie', key: `callerKeys/${key('a')}`});
	t.like(tree.callerKey(key('a')), {path: 'prairie/prod', key: {organisation: 'winnipeg'}});
	attempt(tree, {op: 'delete', path: 'prairie', recursive: true});
	t.is(tree.callerKey(key('a')), undefined);
	t.deepEqual(tree.paths(), []);
});

test('a change with several problems reports all of them and leaves the tree unchanged', t => {
	const tree = makeTree(set('prairie', `callerKeys/${key('a')}`, {organisation: 'regina'}));
	const before = JSON.stringify(tree.snapshot());
	const problems = attempt(
		tree,
		set('prairie', 'deadlineMs', -1),
		set('prairie', 'dedlineMs', 5),
		set('prairie/prod', 'residency', ['regina-a']),
		set('prairie/prod/proofer', 'homeRegion', 'winnipeg-a'),
		set('prairie/prod', `callerKeys/${key('c')}`, {organisation: 'x', homeRegion: 'winnipeg-a'}),
		{op: 'delete', path: 'prairie'},
		...create('bustan', 'none/prod'),
		set('bustan', `callerKeys/${key('a')}`, {organisation: 'muscat'}),
		set('bustan', 'callerKeys', {}),
	);
	const found = problems.map(problem => `${problem.path} ${problem.key ?? ''}`).sort();
	t.deepEqual(found, [
		'bustan callerKeys',
		`bustan callerKeys/${key('a')}`,
		'none/prod ',
		'prairie ',
		'prairie deadlineMs',
		'prairie dedlineMs',
		`prairie/prod callerKeys/${key('c')}`,
		'prairie/prod/proofer homeRegion',
	]);
	t.true(problems.every(problem => problem.problem !== '' && problem.remedy !== ''));
	t.is(JSON.stringify(tree.snapshot()), before);
	t.is(tree.revision, 1);
});

test('a narrower residency is checked against the home regions of descendants', t => {
	const tree = makeTree(set('prairie/prod/proofer', 'homeRegion', 'winnipeg-a'));
	const problems = attempt(tree, set('prairie', 'residency', ['regina-a']));
	t.deepEqual(problems.map(problem => problem.path), ['prairie/prod/proofer']);
	t.deepEqual(attempt(tree, set('prairie', 'residency', ['winnipeg-a', 'regina-a'])), []);
});

test('a setting cannot be set without a value, and no subkey collides with an inherited property', t => {
	const tree = makeTree(set('prairie', 'models/known', {replicas: 1, bytes: 1}));
	t.is(attempt(tree, set('prairie', 'deadlineMs', undefined)).length, 1);
	t.is(attempt(tree, set('prairie', 'constructor', 1)).length, 1);
	t.false('constructor' in tree.route(path)!.models);
});

const names = ['a', 'b', 'a/x', 'a/y', 'a/x/s', 'a/x/s/r', 'b/x'];
const operation: fc.Arbitrary<TreeOperation> = fc.oneof(
	fc.record({op: fc.constant('create' as const), path: fc.constantFrom(...names)}),
	fc.record({op: fc.constant('delete' as const), path: fc.constantFrom(...names), recursive: fc.boolean()}),
	fc.record({
		op: fc.constant('set' as const),
		path: fc.constantFrom(...names),
		key: fc.constantFrom('deadlineMs', 'homeRegion', 'residency', `callerKeys/${key('a')}`, `targetKeys/${key('b')}`),
		value: fc.constantFrom(7, 'r1', ['r1'], ['r2'], {organisation: 'o'}, {name: 'n'}),
	}),
	fc.record({op: fc.constant('unset' as const), path: fc.constantFrom(...names), key: fc.constantFrom('deadlineMs', 'residency', `callerKeys/${key('a')}`)}),
);

test('random changes: refused ones change nothing, accepted ones give the same state on another tree', t => {
	fc.assert(fc.property(fc.array(fc.array(operation, {maxLength: 4}), {maxLength: 25}), changes => {
		const tree = new TreeState();
		const follower = new TreeState();
		for (const operations of changes) {
			const change = makeChange({number: tree.revision + 1, operations});
			const before = JSON.stringify(tree.snapshot());
			if (tree.apply(change).length > 0) {
				t.is(JSON.stringify(tree.snapshot()), before);
			} else {
				follower.applyAccepted(change);
			}

			const restored = new TreeState();
			restored.restore(jsonCopy(tree.snapshot()));
			for (const other of [follower, restored]) {
				t.is(JSON.stringify(other.snapshot()), JSON.stringify(tree.snapshot()));
				t.deepEqual(other.callerKey(key('a')), tree.callerKey(key('a')));
				t.deepEqual(other.targetKey(key('b')), tree.targetKey(key('b')));
			}
		}
	}), {seed: 41, numRuns: 300});
});
