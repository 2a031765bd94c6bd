import test from 'ava';
import type {CallerKey} from '../../../src/core/ids/caller-key.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';

test('a request that is forwarded again goes to the target that refused it before, whose refusal may be written again on the same connection', t => {
	const harness = new EdgeHarness();
	harness.feed({targets: [listedTargetFixture('a'), listedTargetFixture('b')]});
	const forwarded = {region: toId<Region>('winnipeg'), documentVersion: 1, service: toId<ServiceName>('desk')};
	const refusedBy = new Set<unknown>();
	for (let sent = 0; sent < 2; sent++) {
		harness.request({callerKey: toId<CallerKey>('one'), forwarded});
		const {attempt, targetId} = harness.lastStart();
		t.false(refusedBy.has(targetId));
		refusedBy.add(targetId);
		harness.head(attempt, {status: 503, notRun: true, signed: false});
		// The entry itself tries the other target once; its caller leaves.
		harness.step({type: 'caller-gone', requestId: toId(`r${sent + 1}`)});
		harness.run(1000);
	}
});
