import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {AppliedLog} from './applied-log.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import {LogAcceptor} from './log-acceptor.ts';
import type {LogMember} from './log-member.ts';
import type {MemberContext} from './member-context.ts';
import {SnapshotReceiver} from './snapshot-receiver.ts';

type Append = ConsensusMessage['body'] & {type: 'append'};
type Snapshot = ConsensusMessage['body'] & {type: 'snapshot'};

const always = Number.NEGATIVE_INFINITY as Millis;

/** A member's work under a leader: takes over its entries and snapshots, and tells how far the member lags behind. */
export class Follower<Outcome> {
	readonly #context: MemberContext;
	readonly #applied: AppliedLog<Outcome>;
	readonly #logAcceptor: LogAcceptor;
	readonly #snapshotReceiver: SnapshotReceiver;
	/** Since when the leader's commit index has been ahead of this member's; always, for a member that has not caught up with its leader yet. */
	#laggingSince: Millis | undefined = always;

	constructor(context: MemberContext, applied: AppliedLog<Outcome>) {
		this.#context = context;
		this.#applied = applied;
		this.#logAcceptor = new LogAcceptor(context);
		this.#snapshotReceiver = new SnapshotReceiver(context);
	}

	/** Milliseconds for which the leader's commit index has been ahead of this member's; 0 if it is not. Infinite from `loseTrack` on, until this member has caught up. */
	lag(now: Millis): number {
		return this.#laggingSince === undefined ? 0 : now - this.#laggingSince;
	}

	/** Notes a new leader or a failed write: how far this member lags is not known until it has caught up. */
	loseTrack(): void {
		this.#laggingSince = always;
	}

	/** Refuses a message from a leader of an earlier term. */
	refuse(from: NodeId, message: Append): void {
		this.#logAcceptor.refuse(from, message);
	}

	append(from: NodeId, message: Append, now: Millis): void {
		const matched = this.#logAcceptor.accept(from, message, this.#applied.commitIndex);
		if (matched !== undefined) {
			this.#applied.advance(Math.min(message.commit, matched));
		}

		// A new leader's commit index covers all that was committed before only once it names an entry of its own term.
		const {log} = this.#context.storage;
		const hasCaughtUp = this.#applied.commitIndex >= message.commit && log.term(message.commit) === message.term;
		this.#laggingSince = hasCaughtUp ? undefined : this.#laggingSince ?? now;
	}

	/** Takes a chunk of a snapshot, and installs the snapshot once it is complete. */
	install(from: LogMember, message: Snapshot): void {
		if (message.index > this.#applied.commitIndex) {
			const snapshot = this.#snapshotReceiver.receive(from, message);
			if (snapshot === undefined) {
				return;
			}

			this.#applied.install(snapshot);
		}

		this.#snapshotReceiver.acknowledge(from, message);
	}
}
