import type {ControlMessage} from '../control/control-message.ts';
import type {Millis} from '../ids/millis.ts';

type Feed = ControlMessage & {type: 'feed'};

/**
 * Longest time since control confirmed the configuration for which a key that it does not have is unknown for certain,
 * in milliseconds. A control node that was cut off from the leader counts as current for 1.5 s more, and an accepted
 * configuration is in force everywhere after 3 s: what is left, less half a second for delays.
 */
const maxConfirmationAgeMs = 1000;

/**
 * Judges whether an entry has the newest accepted configuration.
 *
 * Load pattern: an operator adds a key and its holders call at once, while some entries are cut off from control, have
 * just run again after a standstill, or follow a control node that is cut off itself. A key that such an entry does
 * not know may be valid.
 */
export class ConfigurationFreshness {
	/** Time at which the entry sent the newest status that a current control node has answered, without a newer state than the entry's. */
	#confirmedAt = Number.NEGATIVE_INFINITY;
	/** Version of the newest document that this build could not read; no later one was read. */
	#unreadableVersion: number | undefined;

	/** Records a feed after its state was taken; `index` is the log index of the entry's state. */
	record({current, stateIndex, answers}: Feed, index: number, now: Millis): void {
		// A feed may have lain in a buffer while this process or the control node stood still, so its arrival proves nothing.
		// Control nodes of builds that don't know `answers` leave it out.
		const askedAt = answers ?? now;
		if (current && stateIndex <= index && askedAt <= now) {
			this.#confirmedAt = Math.max(askedAt, this.#confirmedAt);
		}
	}

	recordDocument({version, isReadable}: {version: number; isReadable: boolean}): void {
		this.#unreadableVersion = isReadable ? undefined : version;
	}

	/** True if a newer configuration may have been accepted, and should be in force here by now. */
	mayBeBehind(now: Millis): boolean {
		return this.#unreadableVersion !== undefined || now - this.#confirmedAt > maxConfirmationAgeMs;
	}
}
