import type {ControlMessage} from '../control/control-message.ts';
import {controlTiming} from '../control/control-timing.ts';
import type {LogView} from '../control/log-view.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {StartBasis} from './start-basis.ts';

type Feed = ControlMessage & {type: 'feed'};
type State = NonNullable<Feed['state']>;
type Held = {readonly state: State; readonly index: number; readonly control: NodeId};
type Start = Held & {readonly basis: StartBasis; readonly waitedMs: number; readonly heard: number};

/** Time within which a deployment serves again once its machines are back, in milliseconds. */
const recoveryMs = 12_000;
/** Time within which targets have reported and are listed, in milliseconds. */
const targetsListedMs = 2000;
/** Time within which an accepted change must be in force, in milliseconds. */
const applyMs = 3000;
/** Longest time to an election where a majority of the voters runs, in milliseconds. */
const electionMs = 2000;
/** Time from the first configuration on in which one that may lack the changes of the last moments is taken, in milliseconds: the election that decides on them ends in time. */
const maxPendingMs = applyMs - electionMs;
/** Longest time without proof that a configuration is the newest, from the first one on, in milliseconds. */
const maxProofWaitMs = recoveryMs - targetsListedMs;

/**
 * Decides by which configuration an entry that starts becomes ready.
 *
 * Load pattern: everything comes back at once after a power loss, or one entry while control has no leader. For an
 * election, 1.2 to 2 s, no control node is current; some lag by what they missed while they were cut off, or do not
 * know yet that what they hold was accepted. By an older configuration requests would leave their home region or get
 * 404 for routes that were added, which callers take for final, while 503 brings them back.
 *
 * Where a majority of the voters answers, the one with the newest log could be elected by them, so its log has all
 * accepted changes. If the state with the highest commit index covers its changes of the routes, none newer was accepted,
 * and the entry need not wait for an election. If changes are pending, the election decides on them while they need not
 * be in force yet, so that the entry does not wait for it either, unless it has waited for that majority already.
 * Otherwise it waits for a current control node, which an election of 2 s and the catch-up of a node, 4 s, must bring if
 * a majority is there. A refused request comes back, while one that ran outside its home cannot be taken back. A region that stays cut off has no current node: once a deployment that is whole
 * would serve again, its callers are better served by the newest configuration that anyone has than not at all.
 */
export class StartConfiguration {
	// eslint-disable-next-line no-restricted-syntax -- by control node
	readonly #views = new Map<string, LogView & {readonly heardAt: Millis}>();
	#held: Held | undefined;
	#highestIndex = 0;
	/** Since when the entry has known a routes document. */
	#heldSince: Millis | undefined;
	/** Time of the last feed of a current control node. */
	#currentAt = Number.NEGATIVE_INFINITY;

	/** Log index of the newest state that was sent. */
	get index(): number {
		return this.#held?.index ?? 0;
	}

	record(control: NodeId, {state, stateIndex, current, log}: Feed, now: Millis): void {
		this.#currentAt = current ? now : this.#currentAt;
		this.#highestIndex = Math.max(stateIndex, this.#highestIndex);
		if (state !== undefined && stateIndex > this.index) {
			this.#held = {state, index: stateIndex, control};
			this.#heldSince ??= state.document && now;
		}

		if (log !== undefined) {
			this.#views.set(log.member, {...log, heardAt: now});
		}
	}

	/** Drops what was recorded once a configuration is in force: the text of a document has keys in it. */
	clear(): void {
		this.#held = undefined;
		this.#views.clear();
	}

	/** The configuration to become ready with; undefined while a newer one may still come. */
	take(now: Millis): Start | undefined {
		if (this.#held?.state.document === undefined || this.#heldSince === undefined) {
			return undefined;
		}

		const waitedMs = now - this.#heldSince;
		const basis = this.#basis(waitedMs, now);
		return basis && {
			...this.#held, basis, waitedMs, heard: this.#views.size,
		};
	}

	#basis(waitedMs: number, now: Millis): StartBasis | undefined {
		if (this.#held!.index === this.#highestIndex) {
			if (now - this.#currentAt <= controlTiming.feedTimeoutMs) {
				return 'current';
			}

			if (this.#isNewestOfMajority(waitedMs, now)) {
				return 'majority';
			}
		}

		return waitedMs >= maxProofWaitMs ? 'waited' : undefined;
	}

	#isNewestOfMajority(waitedMs: number, now: Millis): boolean {
		const views = [...this.#views.values()].filter(({heardAt}) => now - heardAt <= controlTiming.feedTimeoutMs);
		const [newest] = views.toSorted((left, right) => right.lastTerm - left.lastTerm || right.lastIndex - left.lastIndex);
		if (newest === undefined) {
			return false;
		}

		const {voters, pendingIndex = 0} = newest;
		const heard = views.filter(({member}) => voters.includes(member));
		const hasPending = pendingIndex > Math.max(...views.map(({commitIndex}) => commitIndex));
		return 2 * heard.length > voters.length && (!hasPending || waitedMs <= maxPendingMs);
	}
}
