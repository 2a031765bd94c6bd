import type {Millis} from '../ids/millis.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import type {MemberContext} from './member-context.ts';
import type {PeerProgress} from './peer-progress.ts';

/** Sends the state in chunks to members whose next entry the log no longer holds; all share one serialised text. */
export class SnapshotSender {
	readonly #context: MemberContext;
	readonly #takeSnapshot: () => LogSnapshot;
	#cached: {readonly index: number; readonly text: string; usedAt: number} | undefined;

	constructor(context: MemberContext, takeSnapshot: () => LogSnapshot) {
		this.#context = context;
		this.#takeSnapshot = takeSnapshot;
	}

	/** Sends the chunk that the member needs next. */
	send(peer: PeerProgress, now: Millis): void {
		const {index, text} = this.#currentSnapshot(now);
		if (peer.snapshotTransfer?.index !== index) {
			peer.snapshotTransfer = {index, offset: 0};
		}

		const {offset} = peer.snapshotTransfer;
		peer.sentAt = now;
		this.#context.send(peer.member.nodeId, {
			type: 'snapshot',
			term: this.#context.storage.term,
			index,
			offset,
			total: text.length,
			text: text.slice(offset, offset + this.#context.limits.chunkLength),
			sentAt: now,
		}, peer.member.storageId);
	}

	tick(now: Millis): void {
		if (this.#cached !== undefined && now - this.#cached.usedAt > consensusTiming.snapshotIdleMs) {
			this.#cached = undefined;
		}
	}

	/** The cached text is reused as long as the log holds the entries after it. */
	#currentSnapshot(now: Millis): {index: number; text: string} {
		if (this.#cached === undefined || this.#cached.index < this.#context.storage.log.baseIndex) {
			const snapshot = this.#takeSnapshot();
			this.#cached = {index: snapshot.index, text: JSON.stringify(snapshot), usedAt: now};
		}

		this.#cached.usedAt = now;
		return this.#cached;
	}
}
