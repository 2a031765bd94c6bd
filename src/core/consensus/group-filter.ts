import type {Bootstrap} from './bootstrap.ts';
import type {ConsensusMessage} from './consensus-message.ts';
import type {MemberStorage} from './member-storage.ts';

/** Keeps the members of different groups apart, such as two that were formed around a lost folder. */
export class GroupFilter {
	readonly #storage: MemberStorage;
	readonly #bootstrap: Bootstrap;

	constructor(storage: MemberStorage, bootstrap: Bootstrap) {
		this.#storage = storage;
		this.#bootstrap = bootstrap;
	}

	/** Whether a message may be handled: an empty member that saw history takes up the group that needs it. */
	accepts({group, body}: ConsensusMessage): boolean {
		if (group === this.#storage.group) {
			return group !== '';
		}

		if (body.type === 'join') {
			return group === '';
		}

		const free = this.#storage.empty && this.#bootstrap.historySeen && group !== '';
		const needed = body.type === 'append' || body.type === 'snapshot' || body.type === 'vote';
		if (free && needed) {
			this.#storage.setGroup(group);
			return true;
		}

		return false;
	}

	/** The group that a message names: an empty member may have promised one that was never formed, and joins any. */
	groupFor(body: ConsensusMessage['body']): string {
		return body.type === 'join' && this.#storage.empty ? '' : this.#storage.group;
	}
}
