import process from 'node:process';
import type {NodeStatus} from '../core/node-status.ts';
import {CommandError} from './command-error.ts';
import type {CommandLineOptions} from './command-line-options.ts';
import {EntryClient} from './entry-client.ts';
import {exitCodes} from './exit-codes.ts';
import {printJson} from './print-json.ts';
import {resolveClientOptions} from './resolve-client-options.ts';

type MembersAnswer = {readonly started?: boolean; readonly leader?: string; readonly title?: string; readonly detail?: string};

/** Lists, adds or removes members of the replicated settings log. */
export async function members(action: string, node: string | undefined, options: CommandLineOptions): Promise<void> {
	const validArguments = action === 'list' ? node === undefined : (action === 'add' || action === 'remove') && node !== undefined;
	if (!validArguments) {
		throw new CommandError('Use members list, members add <node> or members remove <node>.', exitCodes.usage);
	}

	const client = new EntryClient(resolveClientOptions(options));
	if (action === 'list') {
		const {control} = await client.get('/v1/status') as NodeStatus;
		if (!control) {
			throw new CommandError('This entry is not a member of the settings log: name a control VM with --entry.', exitCodes.refused);
		}

		printJson(control);
		return;
	}

	const {control: listed} = await client.get('/v1/status') as NodeStatus;
	const {status, body} = await client.call('POST', '/v1/members', {type: action, node, after: listed?.configurationIndex});
	const answer = body as MembersAnswer;
	if (status !== 200) {
		throw new CommandError(describeRefusal(node!, answer, [options.entry ?? []].flat()), exitCodes.refused);
	}

	process.stdout.write(`${action} ${node}: under way; watch members list\n`);
}

function describeRefusal(node: string, {title = 'Not possible now', detail, leader}: MembersAnswer, entries: readonly string[]): string {
	if (detail !== undefined) {
		return `${title}: ${detail}`;
	}

	if (leader === undefined) {
		return `${title}: this entry knows no leader. Name another control VM with --entry.`;
	}

	return entries.includes(leader)
		? `${title}. See members list: ${node} may already be added or removed, or another change may be in progress.`
		: `${title}. Name the leader with --entry ${leader}.`;
}
