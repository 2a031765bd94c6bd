import type {Bootstrap} from './bootstrap.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {MemberStorage} from './member-storage.ts';

/** Separates members of different groups, such as two groups formed after a data folder was lost. */
export class GroupFilter {
	readonly #storage: MemberStorage;
	readonly #bootstrap: Bootstrap;

	constructor(storage: MemberStorage, bootstrap: Bootstrap) {
		this.#storage = storage;
		this.#bootstrap = bootstrap;
	}

	/**
	 * Whether a message may be handled. A member with an empty log that knows of another member's history
	 * adopts the group of the first replication message or vote request.
	 */
	accepts({group, body}: ConsensusMessage): boolean {
		if (group === this.#storage.group) {
			return group !== '';
		}

		if (body.type === 'join') {
			return group === '';
		}

		const canAdoptGroup = this.#storage.empty && this.#bootstrap.historySeen && group !== '';
		const fromActiveGroup = body.type === 'append' || body.type === 'snapshot' || body.type === 'vote';
		if (canAdoptGroup && fromActiveGroup) {
			this.#storage.setGroup(group);
			return true;
		}

		return false;
	}

	/**
	 * Group named in an outgoing message. A `join` of an empty member names none, since the group that it promised
	 * to join may never have been formed.
	 */
	groupFor(body: ConsensusMessage['body']): string {
		return body.type === 'join' && this.#storage.empty ? '' : this.#storage.group;
	}
}
