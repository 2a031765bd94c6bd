import {ActionQueue} from '../action-queue.ts';
import {AwakeClock} from '../common/awake-clock.ts';
import {CostBook} from '../cost/cost-book.ts';
import type {StartError} from '../cost/start-error.ts';
import type {ControlMessage} from '../control/control-message.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import {StateMemory} from '../memory/state-memory.ts';
import {QuotaGate} from '../organisations/quota/quota-gate.ts';
import type {PeerMessage} from '../peer-message.ts';
import type {EntryStatus} from '../registry/entry-status.ts';
import type {RouteTable} from '../routes/route-table.ts';
import {TargetProber} from '../targets/target-prober.ts';
import {ControlFollower} from './control-follower.ts';
import {CrashContainment} from './crash-containment.ts';
import type {EdgeAction} from './edge-action.ts';
import type {EdgeCoreOptions} from './edge-core-options.ts';
import type {EdgeEvent} from './edge-event.ts';
import {EntryConfiguration} from './entry-configuration.ts';
import {PlacementPolicy} from './placement-policy.ts';
import {RegionSelector} from './region-selector.ts';
import {WindowedRetryBudget} from './windowed-retry-budget.ts';
import {RequestHandler} from './request-handler.ts';
import {StartupWait} from './startup-wait.ts';
import {StreamOrigins} from './stream-origins.ts';
import {serviceLoads} from './service-loads.ts';
import {ServiceVersions} from './service-versions.ts';
import {TargetPool} from './target-pool.ts';
import {WaitQueue} from './wait-queue.ts';

type Feed = ControlMessage & {type: 'feed'};

const defaultReportEveryMs = 1000;

/**
 * Makes the decisions of an entry of a deployment with a routes document: which control node it follows, and
 * whether each request is sent, waits or is refused. Each step takes one event and returns the actions to carry out.
 */
export class EdgeCore {
	readonly #options: EdgeCoreOptions;
	readonly #queue: ActionQueue<EdgeAction>;
	readonly #clock = new AwakeClock();
	readonly #follower: ControlFollower;
	readonly #pool: TargetPool;
	readonly #regions: RegionSelector;
	readonly #costs = new CostBook();
	readonly #waiting = new WaitQueue();
	readonly #versions = new ServiceVersions();
	readonly #origins: StreamOrigins;
	readonly #containment: CrashContainment;
	readonly #prober: TargetProber;
	readonly #startup: StartupWait;
	readonly #configuration: EntryConfiguration;
	readonly #requests: RequestHandler;
	readonly #budget: WindowedRetryBudget;
	/** Undefined if the settings have no quotas. */
	readonly #quotas: QuotaGate | undefined;
	#leaving = false;
	#drainedReported = false;
	/** Services of the routes in force without a usable target, as control was told last. */
	#unservedServices = '';
	/** True once a target that serves has been listed since the process started. */
	#hasHadTarget = false;

	constructor(options: EdgeCoreOptions) {
		this.#options = options;
		const {self, seeds, repeats, random, reportEveryMs = defaultReportEveryMs, maxTargetPauseMs, quotas, state = new StateMemory()} = options;
		this.#queue = new ActionQueue(self.nodeId);
		this.#quotas = quotas && new QuotaGate({bounds: quotas, run: Math.floor(random.next() * Number.MAX_SAFE_INTEGER), random});
		this.#pool = new TargetPool(self.nodeId, {maxPauseMs: maxTargetPauseMs, costs: this.#costs, state});
		this.#configuration = new EntryConfiguration({
			queue: this.#queue,
			pool: this.#pool,
			parseDocument: options.parseDocument,
			onInstalled: (table, now) => {
				this.#handleInstalled(table, now);
			},
		});
		this.#regions = new RegionSelector(self, {costs: this.#costs});
		this.#follower = new ControlFollower({
			self,
			seeds,
			outbox: this.#queue,
			status: now => ({...this.#status(now), demand: this.#quotas?.demand(now)}),
			stateIndex: () => this.#configuration.index,
			crashIndex: () => this.#containment.index,
			isConfigured: () => this.table !== undefined,
		});
		this.#budget = new WindowedRetryBudget(repeats);
		this.#origins = new StreamOrigins({
			queue: this.#queue, state, versions: this.#versions, primary: () => this.#follower.primary, controlNodes: () => this.#follower.nodes,
		});
		this.#containment = new CrashContainment({
			queue: this.#queue, state, primary: () => this.#follower.primary, targetCount: () => this.#pool.listings().length,
		});
		this.#prober = new TargetProber({
			targets: now => this.#probedTargets(now),
			reachability: targetId => this.#pool.get(targetId)?.reachability,
			outbox: this.#queue,
			emit: action => {
				this.#queue.push(action);
			},
		});
		this.#startup = new StartupWait({reportEveryMs});
		this.#requests = new RequestHandler({
			startup: this.#startup,
			mayBeBehind: now => this.#configuration.mayBeBehind(now),
			prober: this.#prober,
			containment: this.#containment,
			origins: this.#origins,
			placement: new PlacementPolicy({
				region: self.region, relayAddress: self.relayAddress, pool: this.#pool, regions: this.#regions, startup: this.#startup, table: () => this.#configuration.table, random,
			}),
			table: () => this.#configuration.table,
			pool: this.#pool,
			regions: this.#regions,
			waiting: this.#waiting,
			budget: this.#budget,
			quotas: this.#quotas,
			clock: this.#clock,
			random,
			queue: this.#queue,
		});
	}

	step(event: EdgeEvent, now: Millis): readonly EdgeAction[] {
		this.#clock.step(now);
		this.#handle(event, now);
		this.#requests.placeWaitingRequests(now);
		if (this.#quotas?.mustReport(now) === true) {
			this.#follower.report(now);
		}

		if (this.#requests.closed && !this.#drainedReported && this.#requests.inFlight === 0) {
			this.#drainedReported = true;
			this.#queue.push({type: 'drained'});
		}

		return this.#queue.take();
	}

	/** True if the entry has a routes document and is not leaving; while it leaves it still accepts requests until `shut`. */
	get ready(): boolean {
		return this.table !== undefined && !this.#leaving;
	}

	get leaving(): boolean {
		return this.#leaving;
	}

	get inFlight(): number {
		return this.#requests.inFlight;
	}

	get documentVersion(): number | undefined {
		return this.table?.version;
	}

	/** Routes in force; undefined until the first document arrives. */
	get table(): RouteTable | undefined {
		return this.#configuration.table;
	}

	status(now: Millis): EntryStatus & {
		control?: NodeId; controlSilentMs: number; controlOutdatedMs: number; documentVersion?: number; inFlight: number; startErrors: readonly StartError[];
	} {
		return {
			...this.#status(now),
			control: this.#follower.primary,
			controlSilentMs: Math.round(this.#follower.silenceMs(now)),
			controlOutdatedMs: Math.round(this.#follower.outdatedMs(now)),
			documentVersion: this.documentVersion,
			inFlight: this.inFlight,
			startErrors: this.#costs.startErrors(),
		};
	}

	#handle(event: EdgeEvent, now: Millis): void {
		switch (event.type) {
			case 'tick': {
				this.#budget.start(now);
				this.#quotas?.tick(now);
				this.#configuration.takeFirst(now);
				this.#follower.tick(now);
				this.#origins.tick(now);
				this.#containment.tick(now);
				this.#prober.tick(now);
				this.#requests.tick(now);
				this.#reportUnserved(now);
				break;
			}

			case 'peer': {
				this.#handlePeerMessage(event.from, event.message, now);
				break;
			}

			case 'request': {
				this.#requests.handleRequest(event.req, now);
				break;
			}

			case 'caller-gone': {
				this.#requests.handleCallerGone(event.requestId, now);
				break;
			}

			case 'attempt-working': {
				this.#requests.answers.handleWorking(event.attempt, now);
				break;
			}

			case 'attempt-head': {
				this.#requests.answers.handleHead(event.attempt, event.head, now);
				break;
			}

			case 'attempt-events': {
				this.#requests.answers.handleEvents(event.attempt, event, now);
				break;
			}

			case 'attempt-held': {
				this.#requests.answers.handleHeld(event.attempt, event.held, now);
				break;
			}

			case 'attempt-end': {
				this.#requests.answers.handleEnd(event.attempt, event, now);
				break;
			}

			case 'attempt-failed': {
				this.#requests.answers.handleFailure(event.attempt, event.failure, now);
				break;
			}

			case 'probe-result': {
				this.#prober.recordConnection(event.targetId, event.reachable, now);
				break;
			}

			case 'connection-reset': {
				for (const target of this.#pool.doubtIncarnationsAt(event.address)) {
					this.#queue.event('target-doubted', {target, address: event.address});
				}

				break;
			}

			case 'drain': {
				this.#leaving = true;
				this.#requests.setStopDeadline(now + event.answerMs as Millis);
				this.#follower.report(now);
				break;
			}

			case 'shut': {
				this.#requests.stopAccepting(now);
				break;
			}

			case 'end': {
				this.#requests.end(now);
				break;
			}
		}
	}

	#handlePeerMessage(from: NodeId, message: PeerMessage, now: Millis): void {
		if (message.part === 'control' && message.body.type === 'feed') {
			this.#handleFeed(from, message.body, now);
		} else if (message.part === 'control' && message.body.type === 'stream-found') {
			this.#origins.handleAnswer(from, message.body, now);
		} else if (message.part === 'control' && message.body.type === 'crashes-recorded') {
			this.#containment.handleRecorded(message.body);
		} else if (message.part === 'control' && message.body.type === 'trial-answer') {
			this.#containment.trials.handleAnswer(message.body, now);
		} else {
			this.#queue.count('stale_messages', message.part);
		}
	}

	#handleFeed(from: NodeId, feed: Feed, now: Millis): void {
		const targets = this.#follower.handleFeed(from, feed, now);
		this.#containment.handleFeed(feed, now);
		if (from === this.#follower.primary) {
			this.#origins.handleFeed(feed);
		}

		this.#configuration.handleFeed(from, feed, now);
		if (targets !== undefined) {
			if (this.#startup.recordFeed(now)) {
				this.#queue.event('first-feed', {control: from, current: feed.current, targets: feed.targets.length});
			}

			this.#pool.update(feed.targets, targets === 'whole', now);
			this.#logFirstTarget(now);
			this.#pool.recordHeartbeats(feed.signs);
			this.#regions.update(feed.regions, feed, now);
			if (feed.quotas !== undefined) {
				this.#quotas?.update(feed.quotas, now);
			}

			this.#recordVersions(feed, now);
		}
	}

	/** Tells control at once when a service has no usable target any more, or one again: other regions forward requests by what control tells them. */
	#reportUnserved(now: Millis): void {
		const unserved = (this.table?.document.services ?? []).filter(({name}) => !this.#pool.hasUsable(name, now)).map(({name}) => name).join(' ');
		if (unserved !== this.#unservedServices) {
			this.#unservedServices = unserved;
			this.#follower.report(now);
		}
	}

	#logFirstTarget(now: Millis): void {
		const [first] = this.#hasHadTarget ? [] : this.#pool.serving(now);
		if (first !== undefined) {
			this.#hasHadTarget = true;
			this.#queue.event('first-target', {target: first.listed.targetId, service: first.listed.service});
		}
	}

	* #probedTargets(now: Millis) {
		for (const target of this.#pool.serving(now)) {
			const {listed: {targetId, address}, reachability} = target;
			yield {
				targetId, address, reachability, silentMs: target.silentMs(now),
			};
		}
	}

	#recordVersions({current, regions}: Feed, now: Millis): void {
		if (!current) {
			return;
		}

		const remote = regions.flatMap(({loads}) => loads).flatMap(({service, targets, softwareVersions = [undefined]}) =>
			targets === 0 ? [] : softwareVersions.map(softwareVersion => ({service, softwareVersion})));
		this.#versions.update([...this.#pool.listings(), ...remote], now);
	}

	#handleInstalled({document, version}: RouteTable, now: Millis): void {
		this.#quotas?.setQuotas(document.organisations);
		this.#queue.push({type: 'document', version});
		this.#requests.handleWaitingForRoutes(now);
		this.#follower.report(now);
	}

	#status(now: Millis): EntryStatus {
		const {nodeId, region, zone, address, relayAddress, weight} = this.#options.self;
		return {
			nodeId,
			region,
			zone,
			address,
			relayAddress,
			weight,
			state: this.#leaving ? 'leaving' : (this.table === undefined ? 'starting' : 'ready'),
			loads: serviceLoads({
				table: this.table, pool: this.#pool, regions: this.#regions, waiting: this.#waiting,
			}, now),
		};
	}
}
