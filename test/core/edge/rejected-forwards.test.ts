import test from 'ava';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';

function remoteRegion(name: string, address: string) {
	return {
		region: toId<Region>(name),
		entries: 1,
		hasPlacers: false,
		relayAddresses: [address],
		loads: [{
			service: toId<ServiceName>('desk'), targets: 2, inFlight: 0, waiting: 0, startMs: 0, extraMs: 0,
		}],
	};
}

// Guards against retries that are denied within the budget, since the requests that need them add nothing to it.
test('a request that a target of another region has rejected does not count as a request in the retry budget', t => {
	const harness = new EdgeHarness({ratio: 1, slack: 1});
	harness.feed({regions: [remoteRegion('winnipeg', '10.3.0.9:7101'), remoteRegion('saskatoon', '10.4.0.9:7101')]});
	harness.request();
	t.is(harness.starts().length, 1);
	harness.head(harness.lastStart().attempt, {
		status: 503, notRun: true, signed: false, eventStream: false, refusedBy: 'entry', reachedTarget: true,
	});
	const charges = harness.actions.filter(action => action.type === 'event' && action.event.startsWith('retry-'));
	t.like(charges.map(action => action.type === 'event' && action.fields), [{requests: 1}]);
	t.is(harness.starts().length, 2);
});
