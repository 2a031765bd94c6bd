import type {Millis} from '../ids/millis.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import type {MemberContext} from './member-context.ts';
import type {PeerProgress} from './peer-progress.ts';

/** Sends the state in parts to members whose next entry is no longer held; one text serves all. */
export class SnapshotSender {
	readonly #context: MemberContext;
	readonly #take: () => LogSnapshot;
	#text: {readonly index: number; readonly text: string; usedAt: number} | undefined;

	constructor(context: MemberContext, take: () => LogSnapshot) {
		this.#context = context;
		this.#take = take;
	}

	/** Sends the part that the member needs next. */
	send(peer: PeerProgress, now: Millis): void {
		const {index, text} = this.#current(now);
		if (peer.transfer?.index !== index) {
			peer.transfer = {index, offset: 0};
		}

		const {offset} = peer.transfer;
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
		if (this.#text !== undefined && now - this.#text.usedAt > consensusTiming.snapshotIdleMs) {
			this.#text = undefined;
		}
	}

	/** A text in use stays as long as the entries behind it are held. */
	#current(now: Millis): {index: number; text: string} {
		if (this.#text === undefined || this.#text.index < this.#context.storage.log.baseIndex) {
			const snapshot = this.#take();
			this.#text = {index: snapshot.index, text: JSON.stringify(snapshot), usedAt: now};
		}

		this.#text.usedAt = now;
		return this.#text;
	}
}
