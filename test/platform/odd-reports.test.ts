import {validateHeaderValue} from 'node:http';
import test from 'ava';
import fc from 'fast-check';
import {platformControlCodec} from '../../platform/platform-control-codec.ts';
import {platformRequestCodec} from '../../platform/platform-request-codec.ts';
import type {Millis} from '../../src/core/ids/millis.ts';
import type {TargetId} from '../../src/core/ids/target-id.ts';
import type {Region} from '../../src/core/ids/region.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import type {Zone} from '../../src/core/ids/zone.ts';
import {StateBudget} from '../../src/core/memory/state-budget.ts';
import type {ListedTarget} from '../../src/core/registry/listed-target.ts';
import {TargetRegistry} from '../../src/core/registry/target-registry.ts';
import {isAddress} from '../../src/settings/is-address.ts';
import {relayHeader} from '../../src/server/routes/relay-header.ts';
import {EdgeHarness} from '../fixtures/edge-harness.ts';
import {jsonCopy} from '../fixtures/json-copy.ts';

const nesting = 20_000;
const head = platformRequestCodec.readRequest({method: 'GET', url: '/orders/1', rawHeaders: []});
const soundReport = {
	service: 'desk', address: '10.0.0.1:8080', zone: 'regina-a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, born: 1000, sequence: 1,
};

const nested: Readonly<Record<string, string>> = {
	lists: '['.repeat(nesting) + ']'.repeat(nesting),
	objects: `${'{"a":'.repeat(nesting)}1${'}'.repeat(nesting)}`,
};
/** Values as another writer may leave them, as JSON text or a name of `nested`: deeply nested, numbers too large, ports out of range, other types, odd characters. */
const oddValues = [
	'lists',
	'objects',
	'1e308',
	'-1e308',
	'1e999',
	'9007199254740993',
	'1.5',
	'-1',
	'0',
	'null',
	'true',
	'""',
	'"10.0.0.1:65536"',
	'"10.0.0.1:99999"',
	'"10.0.0.1:0"',
	'"999.0.0.1:80"',
	String.raw`"\ud800"`,
	String.raw`"a\r\nb"`,
	'"__proto__"',
];
const oddIds = ['i-1', '%0D%0AHold:%201', '%F0%9F%9A%A2', '%00', '__proto__'];

function listOddTarget(path: string, body: string): ListedTarget | undefined {
	const call = platformControlCodec.readCall('PUT', path);
	const report = call?.type === 'report' ? platformControlCodec.readReport(call.targetId, body) : undefined;
	if (report === undefined) {
		return undefined;
	}

	const registry = new TargetRegistry({budget: new StateBudget(10_000_000), reportEveryMs: 1000, regionOf: (zone: Zone) => zone === toId<Zone>('regina-a') ? toId<Region>('regina') : undefined});
	registry.recordReport(report, 1000 as Millis);
	registry.tick(2000 as Millis);
	// Control and entries exchange lists as JSON.
	return jsonCopy(registry.changedSince(0, 2000 as Millis))[0];
}

test('an odd entry among the reports of targets stops neither control nor the entries, and a sound target is used beside it', t => {
	fc.assert(fc.property(fc.constantFrom(...Object.keys(soundReport), 'remaining-ms', 'models', 'unknown'), fc.constantFrom(...oddValues), fc.constantFrom(...oddIds), (field, value, id) => {
		const fields = Object.entries({...soundReport, [field]: undefined}).map(([name, sound]) => `"${name}":${name === field ? nested[value] ?? value : JSON.stringify(sound)}`);
		const odd = listOddTarget(`/instances/${id}`, `{${fields.join(',')}}`);
		const entry = new EdgeHarness();
		const sound = listOddTarget('/instances/sound', JSON.stringify({...soundReport, address: '10.0.0.2:8080'}))!;
		entry.feed({targets: odd === undefined ? [sound] : [odd, sound]});
		for (let count = 0; count < 12; count++) {
			entry.request();
		}

		const starts = entry.starts();
		for (const {address, targetId, service} of starts) {
			t.true(isAddress(address), `address ${address}`);
			const headers = platformRequestCodec.outgoingHeaders(head, {
				deadlineMs: 1000, targetId, urgency: 1, resumeAfter: undefined,
			});
			headers.push(relayHeader.write({
				region: toId('regina'), documentVersion: 1, service, origin: odd === undefined ? undefined : {service, softwareVersion: odd.softwareVersion},
			}));
			for (const text of headers) {
				validateHeaderValue('x-any', text);
			}
		}

		return starts.some(({targetId}) => targetId === toId<TargetId>('sound'));
	}), {seed: 41, numRuns: 600});
	t.pass();
});
