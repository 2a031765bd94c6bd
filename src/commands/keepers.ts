import process from 'node:process';
import type {NodeStatus} from '../core/node-status.ts';
import {CommandError} from './command-error.ts';
import type {CommandLineOptions} from './command-line-options.ts';
import {EntryClient} from './entry-client.ts';
import {exitCodes} from './exit-codes.ts';
import {printJson} from './print-json.ts';
import {resolveClientOptions} from './resolve-client-options.ts';

/** Shows the keepers (replicas that hold a region's claims), or accepts the loss of claims that all keepers have lost. */
export async function keepers(action: string, options: CommandLineOptions): Promise<void> {
	if (action !== 'status' && action !== 'accept-loss') {
		throw new CommandError('Use keepers status or keepers accept-loss.', exitCodes.usage);
	}

	const client = new EntryClient(resolveClientOptions(options));
	if (action === 'status') {
		const status = await client.get('/v1/status') as NodeStatus;
		printJson({node: status.node, keeper: status.keeper, keepers: status.keepers});
		return;
	}

	const {keeper} = await client.get('/v1/status') as NodeStatus;
	const {status} = await client.call('POST', '/v1/keepers/accept-loss', {epoch: keeper.epoch});
	if (status !== 200) {
		throw new CommandError('This node is not waiting for keepers accept-loss: see keepers status.', exitCodes.refused);
	}

	process.stdout.write('the region goes on without the lost claims\n');
}
