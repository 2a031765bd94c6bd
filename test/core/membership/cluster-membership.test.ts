import test from 'ava';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {regionFixture} from './region-fixture.ts';

const node = (id: string) => toId<NodeId>(id);

test('with 85 nodes and 10% message loss, a frozen node is alive to no other node within 3 s, and to all again after it resumes', t => {
	const {network, seenAlive, others, parts, notAliveToAll} = regionFixture({nodesPerRegion: 85, loss: 0.1});
	network.run(15_000);
	for (const id of ['r0-0', 'r0-40', 'r0-84'].map(text => node(text))) {
		network.freeze(id);
		network.run(3000);
		t.is(seenAlive(id), 0, `for ${id}`);
		network.run(5000);
		t.true(others(id).every(part => part.node(id)?.state === 'dead'), `for ${id}`);
		network.thaw(id);
		t.is(parts.get(id)!.pauses, 1);
		t.true(network.run(10_000, () => seenAlive(id) === 84), `for ${id}`);
	}

	t.true(network.run(20_000, () => notAliveToAll().length === 0));
});

test('a frozen zone of 21 nodes is alive to no other node within 2.5 s, all other nodes stay alive, and the zone recovers', t => {
	const {network, infos, parts, notAliveToAll} = regionFixture({nodesPerRegion: 85, seed: 3});
	t.true(network.run(10_000, () => notAliveToAll().length === 0));
	network.run(5000);
	const zone = infos.filter(info => info.zone === infos[1]!.zone).map(({nodeId}) => nodeId);
	const others = [...parts].filter(([nodeId]) => !zone.includes(nodeId)).map(([, part]) => part);
	for (const nodeId of zone) {
		network.freeze(nodeId);
	}

	network.run(2500);
	const usable = () => others.map(part => part.nodes().filter(({state}) => state === 'alive').length);
	t.deepEqual(new Set(usable()), new Set([others.length]));
	network.run(5000);
	t.deepEqual(new Set(usable()), new Set([others.length]));
	for (const nodeId of zone) {
		network.thaw(nodeId);
	}

	t.true(network.run(10_000, () => notAliveToAll().length === 0));
});

test('no node is declared dead at 1% message loss', t => {
	const {network, parts} = regionFixture({nodesPerRegion: 85, loss: 0.01, seed: 7});
	network.run(20_000);
	const someDead = () => [...parts.values()].some(part => part.nodes().some(({state}) => state === 'dead'));
	t.false(someDead());
	t.false(network.run(30_000, someDead));
});

test('a node that cannot send to one other node stays alive; one that cannot send at all is alive to no other node', t => {
	const {network, cuts, infos, seenAlive, others, notAliveToAll} = regionFixture({nodesPerRegion: 5});
	network.run(5000);
	cuts.add('r0-1>r0-2');
	t.false(network.run(20_000, () => notAliveToAll().length > 0));
	for (const {nodeId} of infos) {
		cuts.add(`r0-3>${nodeId}`);
	}

	network.run(5000);
	t.is(seenAlive(node('r0-3')), 0);
	for (const id of ['r0-0', 'r0-1', 'r0-2', 'r0-4'].map(text => node(text))) {
		t.true(others(id).filter(part => part.node(node('r0-3'))?.state !== 'alive').every(part => part.node(id)?.state !== 'dead'), `for ${id}`);
	}

	cuts.clear();
	t.true(network.run(10_000, () => notAliveToAll().length === 0));
});

test('a node that receives nothing does not make other nodes suspect each other', t => {
	const {network, cuts, infos, parts} = regionFixture({nodesPerRegion: 10});
	network.run(10_000);
	for (const {nodeId} of infos) {
		cuts.add(`${nodeId}>r0-3`);
	}

	const healthy = [...parts].filter(([id]) => id !== 'r0-3').map(([, part]) => part);
	const suspicion = () => healthy.some(part => part.nodes().some(({state, info}) => state !== 'alive' && info.nodeId !== 'r0-3'));
	t.false(network.run(20_000, suspicion));
	t.true(healthy.every(part => part.node(node('r0-3'))?.state === 'dead'));
});

test('draining of a node is known to all 85 nodes within 500 ms', t => {
	const {network, parts, others} = regionFixture({nodesPerRegion: 85});
	network.run(15_000);
	const id = node('r0-17');
	parts.get(id)!.report({
		revision: 0, load: 0, draining: true, services: [],
	});
	t.true(network.run(500, () => others(id).every(part => part.node(id)?.draining)));
});

test('a restarted node is known by its new incarnation, and messages of the old process do not bring the old one back', t => {
	const {network, infos, start, others, parts} = regionFixture({nodesPerRegion: 4});
	network.run(3000);
	const id = node('r0-3');
	const old = parts.get(id)!;
	const incarnation = infos[3]!.incarnation + 5000;
	start({...infos[3]!, incarnation});
	const known = () => others(id).every(part => part.node(id)?.info.incarnation === incarnation);
	t.true(network.run(3000, known));
	old.tick(network.now);
	t.false(network.run(5000, () => !known()));
});

test('a node that no settings name becomes known to all, and addresses from the settings take precedence over gossiped ones', t => {
	const {network, infos, start, parts} = regionFixture({nodesPerRegion: 4});
	start({...infos[0]!, incarnation: infos[0]!.incarnation + 1, peerAddress: '10.9.9.9:1'});
	const added = start({...infos[3]!, nodeId: node('r0-9'), peerAddress: '10.8.8.8:1'});
	t.true(network.run(5000, () => [...parts.values()].every(part => part.info(node('r0-9')) && part.info(node('r0-3')))));
	t.is(parts.get(node('r0-2'))!.info(node('r0-9'))!.peerAddress, '10.8.8.8:1');
	t.is(added.info(node('r0-0'))!.peerAddress, infos[0]!.peerAddress);
});

test('after a pause a process considers no other node alive until a peer replies', t => {
	const {network, parts} = regionFixture({nodesPerRegion: 3});
	network.run(3000);
	const id = node('r0-1');
	const part = parts.get(id)!;
	t.true(part.fresh(network.now));
	network.freeze(id);
	network.run(10_000);
	part.tick(network.now);
	t.false(part.fresh(network.now));
	t.deepEqual(part.nodes().filter(({state}) => state === 'alive').map(({info}) => info.nodeId), [id]);
	network.thaw(id);
	t.true(network.run(2000, () => part.nodes().every(({state}) => state === 'alive')));
	t.true(part.fresh(network.now));
});

for (const standstillMs of [800, 1000, 1400]) {
	test(`a process that stood still for ${standstillMs} ms suspects no node whose replies wait unread`, t => {
		for (let offsetMs = 0; offsetMs < 300; offsetMs++) {
			const {network, parts} = regionFixture({nodesPerRegion: 3, seed: offsetMs + 1});
			network.run(3000 + offsetMs);
			const part = parts.get(node('r0-1'))!;
			network.freeze(node('r0-1'));
			network.run(standstillMs);
			part.tick(network.now);
			t.deepEqual(part.nodes().map(({state}) => state), ['alive', 'alive', 'alive'], `${offsetMs} ms`);
		}
	});
}

for (const standstillMs of [1000, 1400, 2000, 5000]) {
	test(`a suspect whose refutation waits unread after a standstill of ${standstillMs} ms is not declared dead, and one that is gone is in time`, t => {
		const {network, parts} = regionFixture({nodesPerRegion: 3});
		network.run(3000);
		const [gone, still] = [node('r0-2'), node('r0-1')];
		const part = parts.get(still)!;
		network.freeze(gone);
		t.true(network.run(3000, () => part.node(gone)!.state === 'suspect'));
		network.run(1500);
		network.freeze(still);
		network.run(standstillMs);
		part.tick(network.now);
		t.is(part.node(gone)!.state, 'suspect');
		network.thaw(still);
		t.true(network.run(2000 + 100, () => part.node(gone)!.state === 'dead'));
	});
}

test('two regions are unreachable to each other while the links in one direction are cut, and only then', t => {
	const {network, parts, cuts, infos} = regionFixture({regions: 3, nodesPerRegion: 5});
	network.run(10_000);
	const reachable = (from: string, to: string) => parts.get(node(from))!.region(toId(to), network.now)!.reachable;
	t.true(reachable('r0-4', 'r1'));
	t.true(parts.get(node('r0-4'))!.region(toId('r1'), network.now)!.roundTripMs > 50);
	for (const from of infos.filter(({region}) => region === 'r0')) {
		for (const to of infos.filter(({region}) => region === 'r1')) {
			cuts.add(`${from.nodeId}>${to.nodeId}`);
		}
	}

	network.run(12_000);
	t.false(reachable('r0-4', 'r1'));
	t.false(reachable('r1-4', 'r0'));
	t.true(reachable('r0-4', 'r2'));
	t.true(reachable('r2-4', 'r0'));
	cuts.clear();
	t.true(network.run(5000, () => reachable('r0-4', 'r1') && reachable('r1-4', 'r0')));
});

test('a region stays reachable while any one node of each region is cut off from the other region', t => {
	const {network, parts, cuts, infos} = regionFixture({regions: 2, nodesPerRegion: 5});
	network.run(10_000);
	const far = infos.filter(({region}) => region === 'r1');
	const part = parts.get(node('r0-4'))!;
	const unreachable = () => !part.region(toId('r1'), network.now)!.reachable;
	const near = infos.filter(({region}) => region === 'r0').slice(0, 4);
	for (const [index, cut] of near.entries()) {
		for (const other of far) {
			cuts.clear();
			for (const {nodeId} of infos) {
				const [one, two] = [cut.nodeId, other.nodeId];
				const links = nodeId.startsWith('r1') ? [`${one}>${nodeId}`, `${nodeId}>${one}`] : [`${two}>${nodeId}`, `${nodeId}>${two}`];
				for (const link of links) {
					cuts.add(link);
				}
			}

			t.false(network.run(8000, unreachable), `${index}: ${cut.nodeId} and ${other.nodeId} are cut off`);
		}
	}
});

test('lists nodes with a higher settings revision, also in other regions', t => {
	const {network, parts} = regionFixture({regions: 2, nodesPerRegion: 3});
	network.run(5000);
	const report = (id: string, revision: number) => {
		parts.get(node(id))!.report({
			revision, load: 0, draining: false, services: [],
		});
	};

	report('r0-1', 4);
	report('r1-2', 9);
	t.true(network.run(4000, () => parts.get(node('r0-2'))!.nodesAheadOf(0).join(',') === 'r1-2,r0-1'));
	t.deepEqual(parts.get(node('r0-2'))!.nodesAheadOf(4), [node('r1-2')]);
});
