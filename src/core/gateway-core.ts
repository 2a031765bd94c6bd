import type {Action} from './actions.ts';
import {ActionQueue} from './action-queue.ts';
import {intersectRestrictions} from './common/intersect-restrictions.ts';
import type {MembersAnswer} from './consensus/members-answer.ts';
import {pendingMember} from './consensus/pending-member.ts';
import type {EntryListing} from './entries/entry-listing.ts';
import {listEntries} from './entries/list-entries.ts';
import type {CoreEvent} from './events.ts';
import {GatewayParts} from './gateway-parts.ts';
import type {GatewayCoreOptions} from './gateway-core-options.ts';
import type {Millis} from './ids/millis.ts';
import type {NodeId} from './ids/node-id.ts';
import type {Region} from './ids/region.ts';
import type {Zone} from './ids/zone.ts';
import type {NodeInfo} from './membership/node-info.ts';
import type {NodeStatus} from './node-status.ts';
import type {PeerMessage} from './peer-message.ts';
import type {TargetView} from './targets/target-view.ts';
import type {SettingsTree} from './tree/settings-tree.ts';

/** Requests in flight for each unit of the VM's weight at which an entry reports a load of 1. */
const requestsPerWeight = 500;
/** Entries of each remote region in the list for callers. */
const entriesPerRemoteRegion = 2;
/** Largest number of passes over the parts' outcomes in one step, so that the step ends if outcomes keep causing others. */
const maxSettlePasses = 16;

/**
 * The decision logic of a node: handles one event at a time and returns the actions to execute. It does no I/O and has
 * no clock or randomness of its own, so the same events in the same order give the same actions.
 */
export class GatewayCore {
	readonly #options: GatewayCoreOptions;
	readonly #queue: ActionQueue;
	readonly #parts: GatewayParts;
	#draining = false;
	#drainedReported = false;
	/** Settings revision of the last `settings` action. */
	#reportedRevision = -1;
	/** Epoch of the newest keeper set passed to the ledger, by region. */
	readonly #deliveredEpochs = new Map<Region, number>();

	constructor(options: GatewayCoreOptions) {
		this.#options = options;
		this.#queue = new ActionQueue(options.self.nodeId);
		this.#parts = new GatewayParts(options, this.#queue);
	}

	/** The settings in force. */
	get tree(): SettingsTree {
		return this.#parts.settings.tree;
	}

	/** Handles one event at time `now` and returns the resulting actions in order. */
	step(event: CoreEvent, now: Millis): readonly Action[] {
		this.#parts.now = now;
		this.#dispatch(event, now);
		this.#settle(now);
		return this.#queue.take();
	}

	ready(now: Millis): boolean {
		return this.#parts.settings.ready(now) && this.tree.revision > 0;
	}

	inFlight(): number {
		return this.#parts.requests.inFlight();
	}

	info(nodeId: NodeId): NodeInfo | undefined {
		return this.#parts.membership.info(nodeId);
	}

	targets(now: Millis): readonly TargetView[] {
		return this.#parts.targets.all(now);
	}

	/** Lists entries for a caller; `path` is the settings tree node of the caller's key, whose residency limits the regions beside `residency`, that of the key. */
	entries(query: {zone?: Zone; path?: string; residency?: readonly Region[]}, now: Millis): readonly EntryListing[] {
		const {membership} = this.#parts;
		const remoteEntries = membership.regions(now)
			.filter(view => view.region !== this.#options.self.region && view.reachable)
			.toSorted((left, right) => left.roundTripMs - right.roundTripMs)
			.flatMap(view => view.entries.slice(0, entriesPerRemoteRegion))
			.map(nodeId => membership.info(nodeId))
			.filter(info => info !== undefined);
		return listEntries({
			zone: query.zone,
			region: this.#options.self.region,
			nodes: membership.nodes(),
			remoteEntries,
			residency: intersectRestrictions(query.path === undefined ? undefined : this.tree.resolve(query.path)?.residency, query.residency),
		});
	}

	changeMembers(change: {type: 'add' | 'remove'; nodeId: NodeId}, after: number | undefined, now: Millis): MembersAnswer {
		const {consensus, membership} = this.#parts;
		const leader = consensus?.leader();
		if (leader === this.#options.self.nodeId && after !== undefined && consensus!.status().configurationIndex !== after) {
			return {type: 'refused', leader: membership.info(leader)?.callerAddress, isOutdated: true};
		}

		if (consensus?.changeMembers(change, now)) {
			return {type: 'started'};
		}

		const pending = change.type === 'add' && leader === this.#options.self.nodeId ? pendingMember(consensus!.status()) : undefined;
		return {type: 'refused', leader: leader && membership.info(leader)?.callerAddress, pending};
	}

	/** Accepts the loss of claims after all keepers of this region lost them, up to those of `epoch`, if given; false if this node is not waiting for that decision. */
	acceptLoss(epoch: number | undefined, now: Millis): boolean {
		const {ledger} = this.#parts;
		return (epoch === undefined || ledger.status(now).epoch === epoch) && ledger.acceptLoss(now);
	}

	status(now: Millis): NodeStatus {
		const {self} = this.#options;
		const {membership, consensus, settings} = this.#parts;
		return {
			node: self.nodeId,
			region: self.region,
			zone: self.zone,
			roles: self.roles,
			ready: this.ready(now),
			draining: this.#draining,
			revision: this.tree.revision,
			inFlight: this.inFlight(),
			load: this.#load(),
			control: consensus?.status(),
			nodes: membership.nodes().map(({info, state, draining, revision, load}) => ({
				node: info.nodeId, zone: info.zone, state, draining, revision, load,
			})),
			regions: membership.regions(now).map(({region, reachable, revision, ageMs, roundTripMs}) => ({
				region, reachable, revision, ageMs, roundTripMs,
			})),
			keepers: settings.keeperSets(),
			keeper: this.#parts.ledger.status(now),
		};
	}

	#dispatch(event: CoreEvent, now: Millis): void {
		const {requests, targets, settings} = this.#parts;
		switch (event.type) {
			case 'tick': {
				this.#tick(now);
				break;
			}

			case 'peer': {
				this.#handlePeerMessage(event.from, event.message, now);
				break;
			}

			case 'request': {
				requests.handleRequest(event.req, now);
				break;
			}

			case 'caller-gone': {
				requests.handleCallerGone(event.requestId, now);
				break;
			}

			case 'announcement': {
				targets.announce(event.announcement, now);
				break;
			}

			case 'target-notice': {
				requests.targetNotice(event.attemptId, event.notice, now);
				break;
			}

			case 'attempt-first-byte': {
				requests.attemptFirstByte(event.attemptId, now);
				break;
			}

			case 'attempt-progress': {
				requests.attemptProgress(event.attemptId, event, now);
				break;
			}

			case 'attempt-end': {
				requests.attemptEnded(event.attemptId, event, now);
				break;
			}

			case 'attempt-failed': {
				requests.attemptFailed(event.attemptId, event.failure, now);
				break;
			}

			case 'probe-result': {
				targets.recordConnection(event.targetId, event.reachable, now);
				break;
			}

			case 'written':
			case 'write-failed': {
				this.#handleJournalEvent(event, now);
				break;
			}

			case 'change': {
				settings.submit(event.change, now);
				break;
			}

			case 'order-result': {
				this.#parts.orders.result(event.orderId, event.ok, event.reason, now);
				break;
			}

			case 'drain': {
				this.#draining = true;
				requests.drain();
				this.#parts.ledger.drain(now);
				this.#report(now);
				break;
			}
		}
	}

	#tick(now: Millis): void {
		const {membership, consensus, settings, targets, ledger, poison, requests, orders, leaderTasks} = this.#parts;
		this.#report(now);
		membership.tick(now);
		consensus?.tick(now);
		settings.catchUpFrom(membership.nodesAheadOf(this.tree.revision), now);
		settings.tick(now);
		targets.tick(now);
		this.#deliverKeeperSets(now);
		ledger.tick(now);
		poison.tick(now);
		requests.tick(now);
		leaderTasks?.tick(now);
		orders.tick(leaderTasks?.fencedLease(now), now);
	}

	#report(now: Millis): void {
		this.#parts.membership.report({
			revision: this.tree.revision,
			load: this.#load(),
			draining: this.#draining,
			services: this.#parts.targets.summaries(now),
		});
	}

	#load(): number {
		return Math.min(1, this.inFlight() / (this.#options.self.weight * requestsPerWeight));
	}

	#handlePeerMessage(from: NodeId, message: PeerMessage, now: Millis): void {
		const parts = this.#parts;
		switch (message.part) {
			case 'consensus': {
				parts.consensus?.handle(from, message.body, now);
				break;
			}

			case 'tree': {
				parts.settings.handle(from, message.body, now);
				break;
			}

			case 'membership': {
				parts.membership.handle(from, message.body, now);
				break;
			}

			case 'targets': {
				parts.targets.handle(from, message.body, now);
				break;
			}

			case 'ledger': {
				parts.ledger.handle(from, message.body, now);
				break;
			}

			case 'poison': {
				parts.poison.handle(from, message.body, now);
				break;
			}

			case 'orders': {
				parts.orders.handle(from, message.body, now);
				break;
			}

			case 'control': {
				// Sent by processes that serve a routes document; this one serves a settings tree.
				this.#queue.count('stale_messages', 'control');
				break;
			}
		}
	}

	#handleJournalEvent(event: Extract<CoreEvent, {type: 'written' | 'write-failed'}>, now: Millis): void {
		const {consensus, ledger} = this.#parts;
		if (event.type === 'written') {
			if (event.journal === 'consensus') {
				consensus?.written(event.token, now);
			} else {
				ledger.written(event.token, now);
			}

			return;
		}

		this.#queue.log('disk', `a write to the ${event.journal} journal failed: ${event.reason}`);
		if (event.journal === 'consensus') {
			consensus?.writeFailed(event.reason, now);
		} else {
			ledger.writeFailed(event.reason, now);
		}
	}

	/** Passes outcomes between the parts until none is left. */
	#settle(now: Millis): void {
		for (let pass = 0; pass < maxSettlePasses; pass++) {
			if (!this.#settleOnce(now)) {
				break;
			}
		}

		this.#reportSettings();
		if (this.#draining && !this.#drainedReported && this.#parts.requests.drained() && this.#parts.ledger.drained(now)) {
			this.#drainedReported = true;
			this.#queue.push({type: 'drained'});
		}
	}

	#settleOnce(now: Millis): boolean {
		const {consensus, settings, ledger, requests, targets, orders, leaderTasks} = this.#parts;
		const delivered = this.#queue.deliverLoopback(message => {
			this.#handlePeerMessage(this.#options.self.nodeId, message, now);
		});

		const committed = consensus?.takeCommitted() ?? [];
		if (committed.length > 0) {
			settings.handleCommitted(committed, now);
			leaderTasks?.committed(committed);
		}

		const claims = ledger.takeOutcomes();
		requests.handleClaimOutcomes(claims, now);
		const changes = settings.takeOutcomes();
		for (const {changeId, outcome} of changes) {
			this.#queue.count('changes', outcome.type);
			this.#queue.push({type: 'change-answer', changeId, outcome});
		}

		const lost = targets.takeLost();
		requests.targetsLost(lost, now);
		const newOrders = orders.takeOrders();
		for (const order of newOrders) {
			this.#queue.push({type: 'order', order});
		}

		return delivered > 0 || [committed, claims, changes, lost, newOrders].some(list => list.length > 0);
	}

	/** Passes keeper sets with a newer epoch from the replicated log to the ledger. */
	#deliverKeeperSets(now: Millis): void {
		for (const set of this.#parts.settings.keeperSets()) {
			if ((this.#deliveredEpochs.get(set.region) ?? 0) < set.epoch) {
				this.#deliveredEpochs.set(set.region, set.epoch);
				this.#parts.ledger.applyKeeperSet(set, now);
			}
		}
	}

	#reportSettings(): void {
		if (this.#reportedRevision === this.tree.revision) {
			return;
		}

		this.#reportedRevision = this.tree.revision;
		this.#queue.push({type: 'settings', revision: this.tree.revision});
	}
}
