import test from 'ava';
import {EntryFeed} from '../../../src/core/control/entry-feed.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {StateBudget} from '../../../src/core/memory/state-budget.ts';
import {TargetRegistry} from '../../../src/core/registry/target-registry.ts';
import {QuotaSums} from '../../../src/core/organisations/quota/quota-sums.ts';
import {RoutesState} from '../../../src/core/routes/routes-state.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

const now = 1000 as Millis;

function feedOf({current}: {current: boolean}) {
	const outbox = new RecordingOutbox();
	const feed = new EntryFeed({
		isFullOfStreams: () => false,
		epoch: 'run-1',
		registry: new TargetRegistry({budget: new StateBudget(10_000_000), reportEveryMs: 1000, regionOf: () => toId<Region>('regina')}),
		state: new RoutesState(),
		outbox,
		isCurrent: () => current,
		logView: () => ({
			member: 'node-1', lastTerm: 1, lastIndex: 1, commitIndex: 1, voters: ['node-1'],
		}),
		controlPeers: () => [],
		regionLoads: () => [], quotas: new QuotaSums(),
	});
	const follow = (ifCurrent?: boolean, sentAt?: Millis) => {
		feed.follow(toId('entry-1'), {
			type: 'follow',
			status: {
				nodeId: toId('entry-1'), region: toId('regina'), zone: toId('regina-a'), address: toId('10.1.0.9:80'), relayAddress: '10.1.0.9:7101', weight: 1, state: 'ready', loads: [],
			},
			stateIndex: 0,
			once: true,
			ifCurrent,
			sentAt,
		}, now);
		return outbox.takeSent();
	};

	return {follow};
}

// Guards against whole lists from all control nodes to all entries while the log has no leader.
test('a control node that is not current sends no list to an entry that looks for a current one', t => {
	t.is(feedOf({current: false}).follow(true).length, 0);
	t.is(feedOf({current: true}).follow(true).length, 1);
	t.is(feedOf({current: false}).follow().length, 1);
});

// Guards against an entry that takes a feed for fresh that lay in a buffer while one of the two stood still.
test('a feed names the status that it answers', t => {
	const [sent] = feedOf({current: true}).follow(false, 700 as Millis);
	t.like(sent, {message: {body: {type: 'feed', answers: 700}}});
});
