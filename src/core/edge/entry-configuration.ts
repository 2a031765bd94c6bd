import type {ActionQueue} from '../action-queue.ts';
import type {ControlMessage} from '../control/control-message.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ParseDocument} from '../routes/parse-document.ts';
import {RouteTable} from '../routes/route-table.ts';
import type {StoredDocument} from '../routes/stored-document.ts';
import {ConfigurationFreshness} from './configuration-freshness.ts';
import type {EdgeAction} from './edge-action.ts';
import {StartConfiguration} from './start-configuration.ts';
import type {TargetPool} from './target-pool.ts';

type Feed = ControlMessage & {type: 'feed'};

type EntryConfigurationOptions = {
	readonly queue: ActionQueue<EdgeAction>;
	readonly pool: TargetPool;
	readonly parseDocument: ParseDocument;
	/** Called once a newer document is in force. */
	readonly onInstalled: (table: RouteTable, now: Millis) => void;
};

/** The configuration that an entry has in force: its routes and evacuated zones, from what control nodes send. */
export class EntryConfiguration {
	readonly #options: EntryConfigurationOptions;
	/** What control nodes sent before the entry has a configuration. */
	readonly #start = new StartConfiguration();
	readonly #freshness = new ConfigurationFreshness();
	#table: RouteTable | undefined;
	#index = 0;

	constructor(options: EntryConfigurationOptions) {
		this.#options = options;
	}

	/** Routes in force; undefined until the first document arrives. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Log index of the newest state that this entry has. */
	get index(): number {
		return Math.max(this.#index, this.#start.index);
	}

	/** True if a newer document may have been accepted that this entry does not have. */
	mayBeBehind(now: Millis): boolean {
		return this.#freshness.mayBeBehind(now);
	}

	/** Takes the state in a feed, if it has one. */
	handleFeed(from: NodeId, feed: Feed, now: Millis): void {
		if (this.#table === undefined) {
			this.#start.record(from, feed, now);
			this.takeFirst(now);
		} else if (feed.state !== undefined) {
			this.#take({
				state: feed.state, index: feed.stateIndex, control: from, current: feed.current,
			}, now);
		}

		this.#freshness.record(feed, this.#index, now);
	}

	/** Puts the configuration in force with which the entry becomes ready, once there is one. */
	takeFirst(now: Millis): void {
		const start = this.#table === undefined ? this.#start.take(now) : undefined;
		if (start === undefined) {
			return;
		}

		const {basis, waitedMs, heard, ...taken} = start;
		this.#take({...taken, current: basis !== 'waited'}, now);
		if (this.#table === undefined) {
			return;
		}

		this.#start.clear();
		if (basis !== 'current') {
			this.#options.queue.event('started-without-leader', {
				basis, index: taken.index, version: taken.state.document?.version, control: taken.control, waitedMs: Math.round(waitedMs), heard,
			});
		}
	}

	#take({state, index, control, current}: {state: NonNullable<Feed['state']>; index: number; control: NodeId; current: boolean}, now: Millis): void {
		if (index <= this.#index) {
			return;
		}

		const {pool, queue} = this.#options;
		this.#index = index;
		pool.setEvacuatedZones(state.evacuated);
		queue.event('state-taken', {
			index, version: state.document?.version, evacuated: state.evacuated, control, current,
		});
		this.#install(state.document, now);
	}

	/** Puts a newer document in force. A document that this entry cannot parse is logged and skipped, and the last one stays in force. */
	#install(stored: StoredDocument | undefined, now: Millis): void {
		if (stored === undefined || stored.version <= (this.#table?.version ?? -1)) {
			return;
		}

		const {queue, parseDocument, onInstalled} = this.#options;
		const parsed = parseDocument(stored.text);
		this.#freshness.recordDocument({version: stored.version, isReadable: !('problems' in parsed)});
		if ('problems' in parsed) {
			queue.event('document-unreadable', {version: stored.version, problems: parsed.problems.slice(0, 3)});
			return;
		}

		this.#table = new RouteTable(parsed.document);
		onInstalled(this.#table, now);
	}
}
