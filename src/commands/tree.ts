import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parse} from 'yaml';
import type {NodeStatus} from '../core/node-status.ts';
import type {ChangeOutcome} from '../core/tree/change-outcome.ts';
import type {HistoryEntry} from '../core/tree/history-entry.ts';
import type {TreeOperation} from '../core/tree/tree-operation.ts';
import {constants} from '../settings/constants.ts';
import {CommandError} from './command-error.ts';
import type {CommandLineOptions} from './command-line-options.ts';
import {EntryClient} from './entry-client.ts';
import {exitCodes} from './exit-codes.ts';
import {printJson} from './print-json.ts';
import {printTable} from './print-table.ts';
import {readTreeFile} from './read-tree-file.ts';
import {resolveClientOptions} from './resolve-client-options.ts';
import {treeDifference} from './tree-difference.ts';

type TreeDocument = {readonly revision: number; readonly nodes: ReadonlyArray<{path: string; settings: Record<string, unknown>}>};
type ChangeAnswer = ChangeOutcome & {readonly title?: string; readonly detail?: string; readonly inForce: Array<{region: string; reachable: boolean; revision: number}>};

const pollMs = 100;

type Usage = {readonly text: string; readonly minArguments: number; readonly maxArguments: number};

const usages: Readonly<Record<string, Usage>> = {
	show: {text: '[path]', minArguments: 0, maxArguments: 1},
	set: {text: '<path> <key> <value>', minArguments: 3, maxArguments: 3},
	unset: {text: '<path> <key>', minArguments: 2, maxArguments: 2},
	create: {text: '<path>', minArguments: 1, maxArguments: 1},
	delete: {text: '<path> [recursive]', minArguments: 1, maxArguments: 2},
	apply: {text: '<file>', minArguments: 1, maxArguments: 1},
	history: {text: '', minArguments: 0, maxArguments: 0},
};

/** Shows or changes the settings tree, depending on the action. */
export async function tree(action: string, args: readonly string[], options: CommandLineOptions): Promise<void> {
	checkArguments(action, args);
	checkChangeNumber(options.number);
	const resolved = resolveClientOptions(options);
	const client = new EntryClient(resolved);
	switch (action) {
		case 'show': {
			await showTree(client, args[0], options);
			break;
		}

		case 'history': {
			await showHistory(client, resolved.json);
			break;
		}

		case 'apply': {
			await applyFile(client, args[0]!, options);
			break;
		}

		default: {
			await submitChange(client, [buildOperation(action as TreeOperation['op'], args)], options);
		}
	}
}

async function showTree(client: EntryClient, path: string | undefined, options: CommandLineOptions): Promise<void> {
	const query = new URLSearchParams({path: path ?? '', resolved: String(options.resolved ?? false)});
	const body = await client.get(`/v1/tree?${query.toString()}`) as TreeDocument;
	if (options.json) {
		printJson(body);
		return;
	}

	process.stdout.write(`revision ${body.revision}\n`);
	for (const node of body.nodes) {
		process.stdout.write(`${node.path}\n`);
		for (const [key, value] of Object.entries(node.settings)) {
			process.stdout.write(`    ${key}: ${JSON.stringify(value)}\n`);
		}
	}
}

async function showHistory(client: EntryClient, json: boolean): Promise<void> {
	const body = await client.get('/v1/history') as {history: HistoryEntry[]};
	if (json) {
		printJson(body);
		return;
	}

	printTable(['revision', 'when', 'operator', 'change', 'operations'], body.history.map(({revision, change}) => [
		revision, new Date(change.submittedAt).toISOString(), change.operator, change.changeId, change.operations.length,
	]));
}

function buildOperation(action: TreeOperation['op'], args: readonly string[]): TreeOperation {
	const [path = '', key, value] = args;
	switch (action) {
		case 'set': {
			return {
				op: 'set', path, key: key!, value: parse(value!),
			};
		}

		case 'unset': {
			return {op: 'unset', path, key: key!};
		}

		case 'create': {
			return {op: 'create', path};
		}

		case 'delete': {
			// The second argument of `delete` is not a key, but the word `recursive`.
			return {op: 'delete', path, recursive: key === 'recursive'};
		}
	}
}

async function applyFile(client: EntryClient, file: string, options: CommandLineOptions): Promise<void> {
	const wanted = readTreeFile(file);
	const current = await client.get('/v1/tree') as TreeDocument;
	const operations = treeDifference(current.nodes, wanted, options.prune === true);
	if (operations.length === 0) {
		process.stdout.write(`revision ${current.revision} has all of ${file} already\n`);
		return;
	}

	await submitChange(client, operations, {number: current.revision + 1, ...options});
}

async function submitChange(client: EntryClient, operations: readonly TreeOperation[], options: CommandLineOptions): Promise<void> {
	const number = options.number ?? (await currentRevision(client)) + 1;
	const changeId = String(options.changeId ?? randomUUID());
	const {body} = await client.call('POST', '/v1/changes', {changeId, number, operations});
	const answer = body as ChangeAnswer;
	if (answer.type !== 'accepted') {
		throw new CommandError(describeRefusal(answer, changeId), answer.type === 'no-quorum' ? exitCodes.unavailable : exitCodes.refused);
	}

	const inForce = options.wait === false ? answer.inForce : await waitUntilInForce(client, answer.revision, options.json === true);
	if (options.json) {
		printJson({...answer, changeId, inForce});
	} else {
		process.stdout.write(`accepted as revision ${answer.revision}\n`);
	}

	if (options.wait !== false && inForce.some(view => view.reachable && view.revision < answer.revision)) {
		process.exitCode = exitCodes.notInForce;
	}
}

function checkArguments(action: string, args: readonly string[]): void {
	const usage = usages[action];
	if (!usage) {
		throw new CommandError(`Unknown action "${action}": use ${Object.keys(usages).join(', ')}.`, exitCodes.usage);
	}

	const invalidDeleteOption = action === 'delete' && args.length === 2 && args[1] !== 'recursive';
	if (args.length < usage.minArguments || args.length > usage.maxArguments || invalidDeleteOption) {
		throw new CommandError(`Use lovageferry tree ${`${action} ${usage.text}`.trim()}.`, exitCodes.usage);
	}
}

function checkChangeNumber(number: number | string | undefined): void {
	if (number !== undefined && !(Number.isSafeInteger(number) && Number(number) > 0)) {
		throw new CommandError(`--number ${String(number)}: must be a revision, such as 12.`, exitCodes.usage);
	}
}

async function currentRevision(client: EntryClient): Promise<number> {
	const {revision} = await client.get('/v1/tree?path=') as TreeDocument;
	return revision;
}

function describeRefusal(answer: ChangeAnswer, changeId: string): string {
	const problems = answer.type === 'invalid'
		? answer.problems.map(({path, key, problem, remedy}) => `  ${path}${key === undefined ? '' : ` ${key}`}: ${problem}: ${remedy}`)
		: [];
	const winner = answer.type === 'number-taken' ? ` (taken by ${answer.winner ?? 'an older change'}; newest revision ${answer.revision})` : '';
	const resend = answer.type === 'no-quorum' ? ` Resend it with --change-id ${changeId}.` : '';
	return [`${answer.title ?? `Not accepted: ${answer.type}`}${winner}.${resend}`, ...problems].join('\n');
}

/** Polls until the revision is in force in every reachable region or the wait has timed out; shows progress on a terminal. */
async function waitUntilInForce(client: EntryClient, revision: number, quiet: boolean): Promise<ChangeAnswer['inForce']> {
	const end = Date.now() + constants.inForceWaitMs;
	for (;;) {
		/* eslint-disable no-await-in-loop */
		const {regions} = await client.get('/v1/status') as NodeStatus;
		const behind = regions.filter(view => view.reachable && view.revision < revision);
		if (behind.length === 0 || Date.now() > end) {
			return [...regions];
		}

		if (!quiet && process.stderr.isTTY) {
			process.stderr.write(`waiting for ${behind.map(view => view.region).join(', ')}\n`);
		}

		await sleep(pollMs);
		/* eslint-enable no-await-in-loop */
	}
}
