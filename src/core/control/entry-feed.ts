import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {QuotaSums} from '../organisations/quota/quota-sums.ts';
import type {RegionLoad} from '../registry/region-load.ts';
import type {TargetRegistry} from '../registry/target-registry.ts';
import type {RoutesState} from '../routes/routes-state.ts';
import type {ControlMessage} from './control-message.ts';
import type {ControlPeer} from './control-peer.ts';
import {controlTiming} from './control-timing.ts';
import type {LogView} from './log-view.ts';

type Follow = ControlMessage & {type: 'follow'};

type EntryFeedOptions = {
	/** Identifies this run of the process; positions from earlier runs are invalid. */
	readonly epoch: string;
	readonly registry: TargetRegistry;
	readonly state: RoutesState;
	readonly outbox: Outbox;
	/** Whether this node is up to date with the replicated log. */
	readonly isCurrent: (now: Millis) => boolean;
	/** What this node holds of the replicated log. */
	readonly logView: () => LogView;
	/** Control nodes that entries may follow. */
	readonly controlPeers: () => readonly ControlPeer[];
	readonly quotas: QuotaSums;
	/** Whether this node has no memory for where further streams begin. */
	readonly isFullOfStreams: () => boolean;
	/** Summaries of the regions. */
	readonly regionLoads: (now: Millis) => readonly RegionLoad[];
};

/** An entry that follows this node, with `sentAt` of its last status; `sentRevision` (registry), `sentStateIndex` and `sentCrashIndex` (log) are what it was sent last, or said that it has. */
type Follower = {readonly region: Region; followedAt: Millis; sentRevision: number; sentStateIndex: number; sentCrashIndex: number; sentQuotasAt: number; readonly sentAt?: Millis};

/** Sends feeds to the entries that follow this control node: at once when something changes, and in answer to each status. */
export class EntryFeed {
	readonly #options: EntryFeedOptions;
	readonly #followers = new Map<NodeId, Follower>();

	constructor(options: EntryFeedOptions) {
		this.#options = options;
	}

	follow(from: NodeId, {status, have, stateIndex, crashIndex = 0, once = false, ifCurrent = false, sentAt}: Follow, now: Millis): void {
		if (ifCurrent && !this.#options.isCurrent(now)) {
			return;
		}

		const position = have?.epoch === this.#options.epoch ? have.revision : -1;
		const follower = {
			region: status.region, followedAt: now, sentRevision: position, sentStateIndex: stateIndex, sentCrashIndex: crashIndex, sentAt, sentQuotasAt: now,
		};
		if (!once) {
			this.#followers.set(from, follower);
		}

		this.#send(from, follower, now);
	}

	/** Sends each follower the changes since its last message; drops followers whose lease is over. */
	push(now: Millis): void {
		const {registry, state} = this.#options;
		for (const [nodeId, follower] of this.#followers) {
			if (now - follower.followedAt > controlTiming.followLeaseMs) {
				this.#followers.delete(nodeId);
			} else if (registry.revision > follower.sentRevision || state.index > follower.sentStateIndex || state.crashes.index > follower.sentCrashIndex) {
				this.#send(nodeId, follower, now);
			}
		}
	}

	/** Sends all followers a feed since demand has risen at some entry; each at most every `quotaFeedIntervalMs`. */
	pushQuotas(now: Millis): void {
		for (const [nodeId, follower] of this.#followers) {
			if (now - follower.sentQuotasAt >= controlTiming.quotaFeedIntervalMs) {
				this.#send(nodeId, follower, now);
			}
		}
	}

	#send(nodeId: NodeId, follower: Follower, now: Millis): void {
		const {epoch, registry, state, outbox, isCurrent, logView, controlPeers, regionLoads, quotas, isFullOfStreams} = this.#options;
		const {crashes} = state;
		const current = isCurrent(now);
		const stateChanged = state.index > follower.sentStateIndex;
		outbox.send(nodeId, {
			part: 'control',
			body: {
				type: 'feed',
				epoch,
				from: follower.sentRevision,
				to: registry.revision,
				targets: registry.changedSince(follower.sentRevision, now, entry => entry.region === follower.region),
				signs: registry.heartbeats(follower.region),
				current,
				log: current ? undefined : logView(),
				control: controlPeers(),
				stateIndex: state.index,
				state: stateChanged ? {document: state.document, evacuated: state.evacuated()} : undefined,
				regions: regionLoads(now),
				crashes: crashes.index > follower.sentCrashIndex ? {index: crashes.index, suspects: crashes.suspects()} : undefined,
				quotas: current ? quotas.feedFor(nodeId, now) : undefined,
				answers: follower.sentAt,
				streamsFull: isFullOfStreams() ? true : undefined,
			},
		});
		follower.sentQuotasAt = now;
		follower.sentRevision = registry.revision;
		follower.sentStateIndex = Math.max(state.index, follower.sentStateIndex);
		follower.sentCrashIndex = Math.max(crashes.index, follower.sentCrashIndex);
	}
}
