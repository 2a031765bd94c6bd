import {jsonSize} from '../common/json-size.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Change} from './change.ts';
import type {HistoryEntry} from './history-entry.ts';
import type {SettingsCopy} from './settings-copy.ts';
import type {SettingsSnapshot} from './settings-snapshot.ts';
import type {TreeMessage} from './tree-message.ts';

/** Time after its last pull in which a follower is sent changes, in milliseconds. */
const followTimeoutMs = 3000;
/** Time without use after which the cached snapshot text is dropped, in milliseconds. */
const snapshotIdleMs = 10_000;
/** Characters of snapshot text in one message. */
const chunkLength = 262_144;
/** Largest total size of the changes in one delta, in bytes of JSON; the first change may exceed this alone. */
const maxDeltaBytes = 1_048_576;
/** Most accepted changes in a snapshot, from which its receiver can serve deltas itself. */
const maxSnapshotHistory = 100;
/** Largest total size of these changes, in bytes of JSON. */
const maxSnapshotHistoryBytes = 1_048_576;

type Follower = {revision: number; keepersVersion: number; until: number};

/** Answers pulls from this node's copy and pushes changes to followers. */
export class SettingsSource {
	readonly #copy: SettingsCopy;
	readonly #outbox: Outbox;
	readonly #followers = new Map<NodeId, Follower>();
	#snapshot: {revision: number; text: string; usedAt: number} | undefined;

	constructor(copy: SettingsCopy, outbox: Outbox) {
		this.#copy = copy;
		this.#outbox = outbox;
	}

	handlePull(from: NodeId, pull: TreeMessage & {type: 'pull'}, now: Millis): void {
		this.#answer(from, pull.revision, pull.keepers, now);
		if (pull.follow) {
			const {tree, keepers} = this.#copy;
			this.#followers.set(from, {revision: tree.revision, keepersVersion: keepers.version, until: now + followTimeoutMs});
		}
	}

	/** Sends the requested chunk if the cached snapshot has this revision, otherwise the first chunk of the cached snapshot or of a new one. */
	handleSnapshotPull(from: NodeId, {revision, offset}: {revision: number; offset: number}, now: Millis): void {
		const known = this.#snapshot?.revision === revision;
		this.#sendChunk(from, known ? offset : 0, now);
	}

	/** Sends followers what they do not have yet. */
	push(now: Millis): void {
		for (const [nodeId, follower] of this.#followers) {
			if (now > follower.until) {
				this.#followers.delete(nodeId);
			} else if (follower.revision < this.#copy.tree.revision || follower.keepersVersion < this.#copy.keepers.version) {
				this.#answer(nodeId, follower.revision, follower.keepersVersion, now);
				follower.revision = this.#copy.tree.revision;
				follower.keepersVersion = this.#copy.keepers.version;
			}
		}

		if (this.#snapshot !== undefined && now - this.#snapshot.usedAt > snapshotIdleMs) {
			this.#snapshot = undefined;
		}
	}

	#answer(to: NodeId, revision: number, keepersVersion: number, now: Millis): void {
		const {tree, keepers} = this.#copy;
		const changes = revision > tree.revision ? [] : tree.changesSince(revision);
		if (changes === undefined) {
			this.#sendChunk(to, 0, now);
			return;
		}

		this.#send(to, {
			type: 'delta',
			base: revision,
			changes: firstChanges(changes),
			keepers: keepers.version > keepersVersion ? keepers.all() : [],
			revision: tree.revision,
		});
	}

	#sendChunk(to: NodeId, offset: number, now: Millis): void {
		this.#snapshot ??= {revision: this.#copy.tree.revision, text: this.#serialise(), usedAt: now};
		const {revision, text} = this.#snapshot;
		this.#snapshot.usedAt = now;
		this.#send(to, {
			type: 'snapshot', revision, offset, total: text.length, text: text.slice(offset, offset + chunkLength),
		});
	}

	#serialise(): string {
		const tree = this.#copy.tree.snapshot();
		const snapshot: SettingsSnapshot = {
			tree: {...tree, history: newestWithin(tree.history.slice(-maxSnapshotHistory))},
			keepers: this.#copy.keepers.all(),
		};
		return JSON.stringify(snapshot);
	}

	#send(to: NodeId, body: TreeMessage): void {
		this.#outbox.send(to, {part: 'tree', body});
	}
}

/** The oldest changes that fit one message; the receiver pulls again for the rest. */
function firstChanges(changes: readonly Change[]): readonly Change[] {
	let bytes = 0;
	const end = changes.findIndex((change, index) => {
		bytes += jsonSize(change);
		return index > 0 && bytes > maxDeltaBytes;
	});
	return end === -1 ? changes : changes.slice(0, end);
}

/** The newest changes whose total size is within `maxSnapshotHistoryBytes`. */
function newestWithin(history: readonly HistoryEntry[]): readonly HistoryEntry[] {
	let bytes = 0;
	const last = history.findLastIndex(entry => {
		bytes += jsonSize(entry);
		return bytes > maxSnapshotHistoryBytes;
	});
	return history.slice(last + 1);
}
