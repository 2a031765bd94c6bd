import process from 'node:process';
import type {EntryListing} from '../core/entries/entry-listing.ts';
import type {NodeStatus} from '../core/node-status.ts';
import type {TargetView} from '../core/targets/target-view.ts';
import type {CommandLineOptions} from './command-line-options.ts';
import {EntryClient} from './entry-client.ts';
import {printJson} from './print-json.ts';
import {printTable} from './print-table.ts';
import {resolveClientOptions} from './resolve-client-options.ts';

/** Prints the status, targets or entries that an entry reports. */
export async function show(view: 'status' | 'targets' | 'entries', options: CommandLineOptions): Promise<void> {
	const resolved = resolveClientOptions(options);
	const zone = options.zone === undefined ? '' : `?zone=${encodeURIComponent(options.zone)}`;
	const body = await new EntryClient(resolved).get(`/v1/${view}${view === 'entries' ? zone : ''}`);
	if (resolved.json) {
		printJson(body);
		return;
	}

	const print = {status: printStatus, targets: printTargets, entries: printEntries}[view];
	print(body as never);
}

function printStatus(status: NodeStatus): void {
	const control = status.control ? `, control ${status.control.role} of term ${status.control.term}` : '';
	const ownStatus = `revision ${status.revision}, ${status.inFlight} in flight, ready ${status.ready}`;
	process.stdout.write(`${status.node} in ${status.region} (${status.zone}): ${ownStatus}${control}\n\n`);
	printTable(['node', 'zone', 'state', 'draining', 'revision', 'load'], status.nodes.map(node => [
		node.node, node.zone, node.state, node.draining, node.revision, node.load.toFixed(2),
	]));
	process.stdout.write('\n');
	printTable(['region', 'reachable', 'revision', 'age ms', 'round trip ms'], status.regions.map(region => [
		region.region, region.reachable, region.revision, Math.round(region.ageMs), Math.round(region.roundTripMs),
	]));
}

function printTargets({targets}: {targets: TargetView[]}): void {
	printTable(['target', 'service', 'zone', 'state', 'models', 'in flight', 'ejected'], targets.map(({announcement, inFlight, ejected}) => [
		announcement.targetId,
		`${announcement.firm}/${announcement.deployment}/${announcement.service}`,
		announcement.zone,
		announcement.state,
		announcement.models.join(','),
		inFlight,
		ejected,
	]));
}

function printEntries({entries}: {entries: EntryListing[]}): void {
	printTable(['entry', 'address', 'zone', 'region', 'weight'], entries.map(entry => [entry.node, entry.address, entry.zone, entry.region, entry.weight]));
}
