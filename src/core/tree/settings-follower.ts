import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {SettingsCopy} from './settings-copy.ts';
import type {SettingsSnapshot} from './settings-snapshot.ts';
import type {TreeMessage} from './tree-message.ts';

/** Time between two pulls from the followed source, in milliseconds. */
const pullIntervalMs = 1000;
/** Time between two pulls from a random other control node, in milliseconds. */
const crossCheckIntervalMs = 3000;
/** Time without an answer after which another source is followed, in milliseconds. */
const sourceTimeoutMs = 2500;
/** Shortest time between two rounds of pulls from nodes known to be ahead, in milliseconds. */
const catchUpIntervalMs = 200;
/** Largest number of nodes in such a round. */
const maxCatchUpSources = 2;

type FollowerOptions = {
	readonly copy: SettingsCopy;
	readonly outbox: Outbox;
	readonly random: Random;
	/** Control nodes, nearest first. */
	readonly controlNodes: () => readonly NodeId[];
};

/** Keeps a node's copy of the settings up to date with other nodes; never installs a lower revision. */
export class SettingsFollower {
	readonly #options: FollowerOptions;
	#source: NodeId | undefined;
	#sourceHeardAt = 0;
	#nextPullAt = 0;
	#nextCrossCheckAt = 0;
	#lastCatchUpAt = Number.NEGATIVE_INFINITY;
	#partialSnapshot: {from: NodeId; revision: number; text: string} | undefined;

	constructor(options: FollowerOptions) {
		this.#options = options;
	}

	/** The control node that is followed. */
	get source(): NodeId | undefined {
		return this.#source;
	}

	/** Pulls from the source at intervals if this node follows one, and from a random other control node. */
	tick(followsSource: boolean, now: Millis): void {
		if (followsSource) {
			this.#followSource(now);
		}

		if (now >= this.#nextCrossCheckAt) {
			this.#nextCrossCheckAt = now + crossCheckIntervalMs;
			this.#crossCheck();
		}
	}

	catchUpFrom(ahead: readonly NodeId[], now: Millis): void {
		if (now - this.#lastCatchUpAt < catchUpIntervalMs) {
			return;
		}

		this.#lastCatchUpAt = now;
		for (const nodeId of ahead.slice(0, maxCatchUpSources)) {
			this.pull(nodeId, false);
		}
	}

	pull(from: NodeId, follow: boolean): void {
		const {tree, keepers} = this.#options.copy;
		this.#send(from, {
			type: 'pull', revision: tree.revision, keepers: keepers.version, follow,
		});
	}

	handleDelta(from: NodeId, delta: TreeMessage & {type: 'delta'}, now: Millis): void {
		const {copy, outbox} = this.#options;
		const before = copy.tree.revision;
		copy.keepers.merge(delta.keepers);
		for (const change of delta.changes) {
			if (change.number === copy.tree.revision + 1) {
				copy.tree.applyAccepted(change);
			}
		}

		if (copy.tree.revision > before) {
			outbox.count('settings_updates', 'delta', copy.tree.revision - before);
		}

		this.#recordAnswer(from, copy.tree.revision > before, now);
		const progress = copy.tree.revision > before || delta.base > before;
		if (delta.revision > copy.tree.revision && progress) {
			this.pull(from, from === this.#source);
		}
	}

	handleSnapshotChunk(from: NodeId, chunk: TreeMessage & {type: 'snapshot'}, now: Millis): void {
		const {revision, offset, total, text} = chunk;
		if (revision <= this.#options.copy.tree.revision) {
			this.#recordAnswer(from, false, now);
			return;
		}

		if (offset === 0) {
			this.#partialSnapshot = {from, revision, text: ''};
		}

		const partial = this.#partialSnapshot;
		if (partial?.from !== from || partial.revision !== revision || partial.text.length !== offset) {
			return;
		}

		partial.text += text;
		this.#recordAnswer(from, true, now);
		if (partial.text.length < total) {
			this.#send(from, {type: 'snapshot-pull', revision, offset: partial.text.length});
			return;
		}

		this.#partialSnapshot = undefined;
		this.#install(JSON.parse(partial.text) as SettingsSnapshot);
		this.pull(from, from === this.#source);
	}

	#install({tree, keepers}: SettingsSnapshot): void {
		const {copy, outbox} = this.#options;
		copy.keepers.merge(keepers);
		copy.tree.restore(tree);
		outbox.count('settings_updates', 'snapshot');
	}

	/** Records an answer; a control node whose answer advanced the copy becomes the followed source. */
	#recordAnswer(from: NodeId, advanced: boolean, now: Millis): void {
		const switchSource = advanced && from !== this.#source && this.#options.controlNodes().includes(from);
		if (switchSource) {
			this.#source = from;
			this.#nextPullAt = now;
		}

		if (from === this.#source) {
			this.#sourceHeardAt = now;
		}
	}

	#followSource(now: Millis): void {
		this.#chooseSource(now);
		if (this.#source !== undefined && now >= this.#nextPullAt) {
			this.#nextPullAt = now + pullIntervalMs;
			this.pull(this.#source, true);
		}
	}

	#chooseSource(now: Millis): void {
		const nodes = this.#options.controlNodes();
		if (this.#source !== undefined && now - this.#sourceHeardAt <= sourceTimeoutMs) {
			return;
		}

		if (this.#source !== undefined) {
			this.#options.outbox.log('tree', `${this.#source} does not answer, following another source`);
		}

		const next = this.#source === undefined ? 0 : (nodes.indexOf(this.#source) + 1) % Math.max(1, nodes.length);
		this.#source = nodes[next];
		this.#sourceHeardAt = now;
		this.#nextPullAt = now;
	}

	#crossCheck(): void {
		const {controlNodes, random} = this.#options;
		const others = controlNodes().filter(nodeId => nodeId !== this.#source);
		const other = others[Math.floor(random.next() * others.length)];
		if (other !== undefined) {
			this.pull(other, false);
		}
	}

	#send(to: NodeId, body: TreeMessage): void {
		this.#options.outbox.send(to, {part: 'tree', body});
	}
}
