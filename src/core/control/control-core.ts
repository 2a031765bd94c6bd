import {ActionQueue} from '../action-queue.ts';
import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {ConsensusRecord} from '../consensus/consensus-record.ts';
import type {ConsensusStatus} from '../consensus/consensus-status.ts';
import {RaftMember} from '../consensus/raft-member.ts';
import type {EntryAddress} from '../ids/entry-address.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';
import {StateMemory} from '../memory/state-memory.ts';
import {QuotaSums} from '../organisations/quota/quota-sums.ts';
import type {PeerMessage} from '../peer-message.ts';
import type {CallerLocation} from '../registry/caller-location.ts';
import {EntryDirectory} from '../registry/entry-directory.ts';
import {summarizeRegions} from '../registry/summarize-regions.ts';
import {TargetRegistry} from '../registry/target-registry.ts';
import type {CommandOutcome} from '../tree/command-outcome.ts';
import {SystemState} from '../tree/system-state.ts';
import {CallerDirectory} from './caller-directory.ts';
import type {ControlAction} from './control-action.ts';
import type {ControlCoreOptions} from './control-core-options.ts';
import type {ControlEvent} from './control-event.ts';
import type {ControlMessage} from './control-message.ts';
import {controlTiming} from './control-timing.ts';
import {CrashReportHandler} from './crash-report-handler.ts';
import {EntryFeed} from './entry-feed.ts';
import {EvacuationChanges} from './evacuation-changes.ts';
import {GroupLog} from './group-log.ts';
import type {LogView} from './log-view.ts';
import {MemberChanges} from './member-changes.ts';
import {OperatorCallHandler} from './operator-call-handler.ts';
import {RegistryGossip} from './registry-gossip.ts';
import {StreamOriginAnswerer} from './stream-origin-answerer.ts';

/**
 * Core of a control node in a deployment with a routes document: the replicated state, the registry of targets,
 * the directory of entries and the feeds to entries. Does no I/O: `step` takes one event and returns the actions to perform.
 */
export class ControlCore {
	readonly #options: ControlCoreOptions;
	readonly #queue: ActionQueue<ControlAction>;
	readonly #state = new SystemState();
	readonly #consensus: RaftMember<CommandOutcome>;
	readonly #registry: TargetRegistry;
	readonly #directory = new EntryDirectory();
	readonly #quotas = new QuotaSums();
	readonly #callerDirectory: CallerDirectory;
	readonly #operatorCalls: OperatorCallHandler;
	readonly #feed: EntryFeed;
	readonly #gossip: RegistryGossip;
	readonly #streamOrigins: StreamOriginAnswerer;
	readonly #crashReports: CrashReportHandler;
	readonly #memberChanges: MemberChanges;
	readonly #evacuations: EvacuationChanges;
	readonly #groupLog: GroupLog;
	/** Time of the last gossip message from each other control node. */
	readonly #lastGossipAt = new Map<NodeId, Millis>();
	/** Number of ticks so far; rotates the sample of addresses in the summaries of regions. */
	#tickCount = 0;
	#gossipUrgent = false;
	/** True if the demand of an organisation has risen: other control nodes and the followers are told at once. */
	#gossipDemand = false;
	#demandRose = false;
	#demandGossipedAt = Number.NEGATIVE_INFINITY;
	#now = 0 as Millis;
	/** Time of the first step. */
	#startedAt: Millis | undefined;

	constructor(options: ControlCoreOptions) {
		this.#options = options;
		const {self, seeds, firstStart, zones, toleratedLosses, reportEveryMs, random, epoch, storage, state = new StateMemory()} = options;
		this.#queue = new ActionQueue(self.nodeId);
		const outbox = this.#queue;
		this.#consensus = new RaftMember({
			self: self.nodeId,
			storageId: storage.storageId,
			initialMembers: seeds,
			mayBootstrap: firstStart,
			loadedJournal: storage.consensus as LoadedJournal<ConsensusRecord>,
			state: this.#state,
			outbox,
			random,
			startedAt: options.startedAt,
		});
		this.#callerDirectory = new CallerDirectory({
			entries: this.#directory, state: this.#state.routes, parseDocument: options.parseDocument, outbox,
		});
		this.#registry = new TargetRegistry({reportEveryMs, regionOf: zone => zones.get(zone), budget: state.budget('targets')});
		this.#memberChanges = new MemberChanges({
			self: self.nodeId, consensus: this.#consensus, toleratedLosses, heardAt: nodeId => this.#lastGossipAt.get(nodeId) ?? this.#startedAt, outbox,
		});
		this.#operatorCalls = new OperatorCallHandler({
			self: self.nodeId,
			consensus: this.#consensus,
			state: this.#state.routes,
			requiredVoters: (2 * toleratedLosses) + 1,
			outbox,
			answer: (callId, answer) => {
				if (!this.#crashReports.handleAnswer(callId, answer)) {
					this.#queue.push({type: 'call-answer', callId, answer});
				}
			},
		});
		this.#crashReports = new CrashReportHandler({
			callPrefix: `${self.nodeId}/${epoch}/crashes-`,
			ledger: this.#state.routes.crashes,
			registry: this.#registry,
			outbox,
			submit: (callId, command, now) => {
				this.#operatorCalls.call(callId, {type: 'change', command}, now, now);
			},
			leads: now => this.#consensus.leads(now),
		});
		this.#gossip = new RegistryGossip({
			...self, self: self.nodeId, epoch, registry: this.#registry, directory: this.#directory, quotas: this.#quotas, outbox, peers: () => this.#peers(),
		});
		this.#streamOrigins = new StreamOriginAnswerer({
			registry: this.#registry,
			state,
			outbox,
			isNewDeployment: firstStart && storage.consensus.records.length === 0,
			isCurrent: now => this.#isCurrent(now),
		});
		this.#feed = new EntryFeed({
			epoch,
			isFullOfStreams: () => this.#streamOrigins.isFull,
			registry: this.#registry,
			state: this.#state.routes,
			quotas: this.#quotas,
			outbox,
			isCurrent: now => this.#isCurrent(now),
			logView: () => this.#logView(),
			controlPeers: () => this.#gossip.controlPeers(this.#now),
			regionLoads: now => summarizeRegions(this.#directory.readyEntries(now), this.#tickCount),
		});
		this.#evacuations = new EvacuationChanges({state: this.#state.routes, registry: this.#registry, outbox});
		this.#groupLog = new GroupLog(outbox);
	}

	/** False if there is no memory for a target that is not known. */
	hasRoomFor(targetId: TargetId): boolean {
		return this.#registry.hasRoomFor(targetId);
	}

	step(event: ControlEvent, now: Millis): readonly ControlAction[] {
		this.#now = now;
		this.#startedAt ??= now;
		this.#dispatch(event, now);
		this.#processPending(now);
		return this.#queue.take();
	}

	/** Addresses of entries that a caller should connect to; none if no entry may take its requests. */
	addresses(caller: CallerLocation, now: Millis): readonly EntryAddress[] {
		return this.#callerDirectory.addresses(caller, now);
	}

	/** Address that a target of the zone should send its next reports to; undefined if it should stay with this node. */
	reportAddress(zone: Zone, now: Millis): string | undefined {
		const region = this.#options.zones.get(zone);
		return region === undefined ? undefined : this.#gossip.operatorAddress(region, now);
	}

	/** Log index of the last evacuation command for a zone that this node has applied; 0 if there is none. */
	evacuationBasis(zone: Zone): number {
		return this.#state.routes.evacuation(zone)?.index ?? 0;
	}

	status(now: Millis): {consensus: ConsensusStatus; current: boolean; documentVersion?: number; evacuated: readonly Zone[]; entries: number; targets: number} {
		return {
			consensus: this.#consensus.status(),
			current: this.#isCurrent(now),
			documentVersion: this.#state.routes.document?.version,
			evacuated: this.#state.routes.evacuated(),
			entries: this.#directory.readyEntries(now).length,
			targets: this.#registry.servingTargets().length,
		};
	}

	#dispatch(event: ControlEvent, now: Millis): void {
		switch (event.type) {
			case 'tick': {
				this.#tick(now);
				break;
			}

			case 'peer': {
				this.#handlePeerMessage(event.from, event.message, now);
				break;
			}

			case 'written': {
				if (event.journal === 'consensus') {
					this.#consensus.written(event.token, now);
				}

				break;
			}

			case 'write-failed': {
				this.#consensus.writeFailed(event.reason, now);
				break;
			}

			case 'call': {
				this.#operatorCalls.call(event.callId, event.call, event.receivedAt ?? now, now);
				break;
			}

			case 'call-abandoned': {
				this.#operatorCalls.abandon(event.callId);
				break;
			}

			case 'report': {
				const {report} = event;
				if (this.#registry.recordReport(report, now)) {
					this.#queue.event('target-changed', {...report});
				}

				break;
			}

			case 'withdraw': {
				if (this.#registry.withdraw(event.targetId, event.wallClock, now, event.born)) {
					this.#queue.event('target-withdrawn', {target: event.targetId, born: event.born});
				}

				break;
			}
		}
	}

	#tick(now: Millis): void {
		this.#tickCount += 1;
		for (const [nodeId, heardAt] of this.#lastGossipAt) {
			if (now - heardAt > controlTiming.peerExpiryMs) {
				this.#lastGossipAt.delete(nodeId);
			}
		}

		this.#consensus.tick(now);
		this.#registry.tick(now);
		this.#directory.tick(now);
		this.#quotas.tick(now);
		this.#streamOrigins.tick(now);
		this.#crashReports.tick(now);
		this.#operatorCalls.tick(now);
		this.#memberChanges.tick(now);
		this.#groupLog.record(this.#consensus.status(), this.#state.routes.document?.version);
	}

	#handlePeerMessage(from: NodeId, message: PeerMessage, now: Millis): void {
		if (message.part === 'consensus') {
			this.#consensus.handle(from, message.body, now);
		} else if (message.part === 'control') {
			this.#handleControlMessage(from, message.body, now);
		} else {
			this.#queue.count('stale_messages', message.part);
		}
	}

	#handleControlMessage(from: NodeId, message: ControlMessage, now: Millis): void {
		switch (message.type) {
			case 'follow': {
				this.#gossipUrgent ||= this.#readinessChanged(message.status.nodeId, message.status.state, now);
				this.#directory.update(message.status, now);
				this.#quotas.record(message.status.nodeId, message.status.demand, {left: message.status.state === 'leaving'}, now);
				if (message.status.demand?.urgent === true) {
					this.#demandRose = true;
					this.#gossipDemand = true;
				}

				this.#feed.follow(from, message, now);
				break;
			}

			case 'gossip': {
				this.#lastGossipAt.set(from, now);
				this.#gossip.handle(from, message, now);
				// The reports of a sender's urgent gossip are new; those of its regular one go out with the regular feeds too.
				this.#demandRose ||= message.entries.some(({status, ageMs}) => status.demand?.urgent === true && ageMs < controlTiming.quotaFeedIntervalMs);
				break;
			}

			case 'propose':
			case 'proposed':
			case 'confirm':
			case 'confirmed': {
				this.#operatorCalls.handle(from, message, now);
				break;
			}

			case 'streams-begun': {
				this.#streamOrigins.handleBegun(message, now);
				break;
			}

			case 'find-stream': {
				this.#streamOrigins.answer(from, message, now);
				break;
			}

			case 'crashes-seen': {
				this.#crashReports.handleSeen(from, message, now);
				break;
			}

			case 'trial-wanted': {
				this.#crashReports.handleTrialWanted(from, message, now);
				break;
			}

			case 'feed':
			case 'stream-found':
			case 'trial-answer':
			case 'crashes-recorded': {
				// For entries only.
				break;
			}
		}
	}

	/** True if the entry became ready or stopped being ready; this is gossiped at once, because other control nodes give out its address. */
	#readinessChanged(nodeId: NodeId, state: string, now: Millis): boolean {
		const wasReady = this.#directory.readyEntries(now).some(entry => entry.nodeId === nodeId);
		return wasReady !== (state === 'ready');
	}

	#processPending(now: Millis): void {
		const handle = (message: PeerMessage) => {
			this.#handlePeerMessage(this.#options.self.nodeId, message, now);
		};

		while (this.#queue.deliverLoopback(handle) > 0) {
			// Handling a message may send further messages to this node.
		}

		const committed = this.#consensus.takeCommitted();
		if (committed.length > 0) {
			this.#operatorCalls.recordOutcomes(committed);
		}

		this.#evacuations.apply(now);
		this.#operatorCalls.answerReady(now);
		this.#feed.push(now);
		this.#spreadDemand(now);
		this.#gossip.push(now, this.#gossipUrgent);
		this.#gossipUrgent = false;
	}

	/** Gossips and feeds risen demand, but not more often than `quotaFeedIntervalMs`. */
	#spreadDemand(now: Millis): void {
		if (this.#demandRose) {
			this.#demandRose = false;
			this.#feed.pushQuotas(now);
		}

		if (this.#gossipDemand && now - this.#demandGossipedAt >= controlTiming.quotaFeedIntervalMs) {
			this.#gossipDemand = false;
			this.#demandGossipedAt = now;
			this.#gossipUrgent = true;
		}
	}

	/** True if this node leads with a valid lease, or has heard the leader lately and lags little behind its commits. */
	#isCurrent(now: Millis): boolean {
		const consensus = this.#consensus;
		return consensus.leader() === this.#options.self.nodeId
			? consensus.leads(now)
			: consensus.leader() !== undefined && consensus.leaderSilence(now) < controlTiming.maxLeaderSilenceMs && consensus.lag(now) <= controlTiming.maxLagMs;
	}

	#logView(): LogView {
		const {uncommitted, ...end} = this.#consensus.logEnd();
		const pending = uncommitted.findLast(({content}) => content.type === 'command' && (content.command.type === 'document' || content.command.type === 'evacuation'));
		return {...end, commitIndex: this.#consensus.commitIndex, pendingIndex: pending?.index};
	}

	/** The other control nodes: seeds, members of the replicated log and nodes that gossiped lately. */
	#peers(): readonly NodeId[] {
		const {voters, learners} = this.#consensus.status();
		const known = new Set([...this.#options.seeds, ...voters, ...learners, ...this.#lastGossipAt.keys()]);
		known.delete(this.#options.self.nodeId);
		return [...known];
	}
}
