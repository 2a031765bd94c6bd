import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import type {CallerLocation} from '../../../src/core/registry/caller-location.ts';
import type {EntryStatus} from '../../../src/core/registry/entry-status.ts';
import type {RoutesDocument} from '../../../src/core/routes/routes-document.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const [regina, saskatoon, winnipeg] = ['regina', 'saskatoon', 'winnipeg'].map(name => toId<Region>(name)) as [Region, Region, Region];
const regions = [regina, saskatoon, winnipeg];
const zones = new Map(regions.map(region => [toId<Zone>(`${region}-a`), region]));
/** Entries of each region, as on the site where the fault was seen. */
const entryCounts = new Map([[regina, 2], [saskatoon, 3], [winnipeg, 1]]);
const homedHost = 'homed.example';
const openHost = 'open.example';
const splitHost = 'split.example';
/** Regions in which each host's requests may be taken, beside the caller's own. */
const allowedRegions = new Map<string, readonly Region[]>([[homedHost, [regina, saskatoon]], [openHost, regions], [splitHost, [saskatoon]]]);
const seeds = [1, 2, 3, 4, 5];
const statusMs = 500;
const queryMs = 100;
const durationMs = 40_000;
/** Interval between two stops of entries, longest time for which one drains, and time that it needs to start. */
const stopEveryMs = 2000;
const longestDrainMs = 8000;
const startMs = 1000;
const killAfterMs = 5000;

type Entry = {readonly nodeId: NodeId; readonly region: Region; state: EntryStatus['state'] | 'down'};

function createDocument(version: number): RoutesDocument {
	const document = routesDocumentFixture({version});
	const [route] = document.routes;
	return {
		...document,
		routes: [
			{...route!, host: 'Homed.Example', homes: [regina, saskatoon]},
			{
				...route!, host: homedHost, prefix: '/open/', homes: [],
			},
			{...route!, host: openHost, homes: []},
			{...route!, host: splitHost, homes: [regina, saskatoon]},
			{
				...route!, host: splitHost, prefix: '/other/', homes: [saskatoon, winnipeg],
			},
		],
	};
}

function startCluster(seed: number): ControlCluster {
	const cluster = new ControlCluster({
		nodes: 5, seed, zones, deliverOutside: () => undefined, parseDocument: text => ({document: JSON.parse(text) as RoutesDocument}),
	});
	cluster.startAll();
	const document = createDocument(1);
	cluster.runUntil(() => cluster.leader() !== undefined);
	cluster.run(1000);
	// An older document with other homes is replaced, so that homes of a past version do not bind.
	for (const [version, routes] of [[1, document.routes.map(route => ({...route, homes: [winnipeg]}))], [2, document.routes]] as const) {
		const text = JSON.stringify({...document, version, routes});
		const callId = cluster.call(0, {type: 'change', command: {type: 'document', document: {version, text}}});
		cluster.runUntil(() => cluster.answers.has(callId));
		if (cluster.answers.get(callId)!.type !== 'accepted') {
			throw new Error(`the document was not accepted: ${JSON.stringify(cluster.answers.get(callId))}`);
		}

		cluster.run(1000);
		for (const index of cluster.nodes.keys()) {
			// Makes the node read this version's homes.
			cluster.nodes[index]!.core!.addresses({host: homedHost, region: regina}, cluster.clock(index));
		}
	}

	return cluster;
}

/** Entries that are stopped and started in turn, in an order and with drains given by the seed; each reports to a control node of its region if one runs. */
function runEntries(cluster: ControlCluster, seed: number): readonly Entry[] {
	const random = new SeededRandom(seed);
	const entries = regions.flatMap(region => Array.from({length: entryCounts.get(region)!}, (_, index): Entry => ({
		nodeId: toId<NodeId>(`${region}-${index}:7100`), region, state: 'ready',
	})));
	const report = (entry: Entry) => {
		const running = [...cluster.nodes.keys()].filter(index => cluster.nodes[index]!.core !== undefined);
		const control = running.find(index => regions[index % regions.length] === entry.region) ?? running[0];
		if (control !== undefined && entry.state !== 'down') {
			cluster.step(control, {
				type: 'peer',
				from: entry.nodeId,
				message: {
					part: 'control',
					body: {
						type: 'follow',
						stateIndex: 0,
						status: {
							nodeId: entry.nodeId,
							region: entry.region,
							zone: toId(`${entry.region}-a`),
							address: toId(entry.nodeId),
							relayAddress: entry.nodeId,
							state: entry.state,
							weight: 1,
							loads: [],
						},
					},
				},
			});
		}
	};

	const setState = (entry: Entry, state: Entry['state']) => {
		entry.state = state;
		report(entry);
	};

	for (const entry of entries) {
		const repeat = () => {
			report(entry);
			cluster.events.scheduleAfter(statusMs, repeat);
		};

		repeat();
	}

	for (const [index, entry] of entries.toSorted(() => random.next() - 0.5).entries()) {
		cluster.events.scheduleAfter((index + 1) * stopEveryMs, () => {
			setState(entry, 'leaving');
			cluster.events.scheduleAfter(longestDrainMs * random.next(), () => {
				setState(entry, 'down');
				cluster.events.scheduleAfter(startMs, () => {
					setState(entry, 'ready');
				});
			});
		});
	}

	return entries;
}

/** Asks a control node for callers of all regions and hosts; returns entries that a caller must not be led to, and callers that got none although the node knows one that may serve them. */
function ask(cluster: ControlCluster, index: number, entries: readonly Entry[]): {outside: readonly string[]; unserved: readonly string[]; ledOut: readonly string[]} {
	const {core} = cluster.nodes[index]!;
	const entriesFor = (caller: CallerLocation) => {
		const addresses = new Set<string>(core?.addresses(caller, cluster.clock(index)));
		return entries.filter(({nodeId}) => addresses.has(nodeId));
	};

	// Answers for an entry's own region depend on no homes: together they are the ready entries that the node knows.
	const known = regions.flatMap(region => entriesFor({host: openHost, region}).filter(entry => entry.region === region));
	const queries = regions.flatMap(region => [...allowedRegions].map(([host, allowed]) => ({
		host, region, caller: `${host} from ${region}`, named: entriesFor({host, region}), isAllowed: (entry: Entry) => entry.region === region || allowed.includes(entry.region),
	})));
	return {
		outside: queries.flatMap(({caller, named, isAllowed}) => named.filter(entry => !isAllowed(entry)).map(({nodeId}) => `${caller}: ${nodeId}`)),
		ledOut: queries.filter(({named, region}) => named.some(entry => entry.region !== region)).map(({host}) => host),
		unserved: queries.filter(({named, isAllowed}) => named.length === 0 && known.some(entry => isAllowed(entry))).map(({caller}) => caller),
	};
}

for (const seed of seeds) {
	test(`callers whose region has no ready entry are not led outside the homes of their host's routes, seed ${seed}`, t => {
		const cluster = startCluster(seed);
		const entries = runEntries(cluster, seed);
		cluster.run(1000);
		// A control node is killed and starts anew while entries stop; it knows few entries at first.
		const killed = seed % cluster.nodes.length;
		cluster.events.scheduleAfter(killAfterMs, () => {
			cluster.kill(killed);
			cluster.start(killed, {bootMs: startMs});
		});
		const outside = new Set<string>();
		const unserved = new Set<string>();
		const ledOut = new Set<string>();
		const until = cluster.now + durationMs;
		while (cluster.now < until) {
			cluster.run(queryMs);
			for (const index of cluster.nodes.keys()) {
				const answers = ask(cluster, index, entries);
				for (const text of answers.outside) {
					outside.add(text);
				}

				for (const host of answers.ledOut) {
					ledOut.add(host);
				}

				for (const text of answers.unserved) {
					unserved.add(text);
				}
			}
		}

		t.deepEqual([...outside], []);
		t.deepEqual([...unserved], []);
		t.deepEqual([...ledOut].toSorted(), [homedHost, openHost, splitHost].toSorted(), 'the run shows callers that are led out of their region');
	});
}
