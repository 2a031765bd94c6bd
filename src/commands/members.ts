import process from 'node:process';
import type {NodeStatus} from '../core/node-status.ts';
import {CommandError} from './command-error.ts';
import type {CommandLineOptions} from './command-line-options.ts';
import {EntryClient} from './entry-client.ts';
import {exitCodes} from './exit-codes.ts';
import {printJson} from './print-json.ts';
import {resolveClientOptions} from './resolve-client-options.ts';

type MembersAnswer = {readonly started?: boolean; readonly leader?: string; readonly title?: string};

/** Lists, adds or removes members of the replicated settings log. */
export async function members(action: string, node: string | undefined, options: CommandLineOptions): Promise<void> {
	const client = new EntryClient(resolveClientOptions(options));
	if (action === 'list') {
		const {control} = await client.get('/v1/status') as NodeStatus;
		printJson(control ?? 'this entry is no member: ask a control VM with --entry');
		return;
	}

	if ((action !== 'add' && action !== 'remove') || node === undefined) {
		throw new CommandError('Use members list, members add <node> or members remove <node>.', exitCodes.usage);
	}

	const {status, body} = await client.call('POST', '/v1/members', {type: action, node});
	const answer = body as MembersAnswer;
	if (status !== 200) {
		const hint = answer.leader ? ` Ask the leader with --entry ${answer.leader}.` : '';
		throw new CommandError(`${answer.title ?? 'Not possible now'}.${hint}`, exitCodes.refused);
	}

	process.stdout.write(`${action} ${node}: under way; watch members list\n`);
}
