import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';

/** Between two sendings to those who have not answered, in milliseconds. */
const resendMs = 250;

/** Sendings to one member of a group before the next one is asked. */
const sendsPerMember = 4;

/** A round that is not complete by then is given up by those who pass it on, in milliseconds. */
const expiryMs = 5000;

/** One of its members has to agree. */
type Group = {
	readonly relay: boolean;
	readonly members: readonly NodeId[];
};

type Options = {
	readonly permitId: string;
	/** Who has to agree now; nodes that are gone drop out, new ones are asked. */
	readonly groups: () => readonly Group[];
	readonly send: (to: NodeId, relay: boolean) => void;
};

/** One question to several groups of nodes, complete once a member of each group has agreed. */
export class PermitRound {
	readonly permitId: string;
	readonly #groups: Options['groups'];
	readonly #send: Options['send'];
	readonly #granted = new Set<NodeId>();
	#denied = false;
	#sendCount = 0;
	#startedAt: Millis | undefined;
	#sentAt = 0 as Millis;

	constructor(options: Options) {
		this.permitId = options.permitId;
		this.#groups = options.groups;
		this.#send = options.send;
	}

	/** True once a node refused. */
	get denied(): boolean {
		return this.#denied;
	}

	/** Asks those who have not agreed, at most once in a while. */
	send(now: Millis): void {
		if (this.#startedAt !== undefined && now - this.#sentAt < resendMs) {
			return;
		}

		this.#startedAt ??= now;
		this.#sentAt = now;
		const memberIndex = Math.floor(this.#sendCount / sendsPerMember);
		this.#sendCount += 1;
		for (const {relay, members} of this.#unansweredGroups()) {
			this.#send(members[memberIndex % members.length]!, relay);
		}
	}

	recordReply(from: NodeId, granted: boolean): void {
		if (granted) {
			this.#granted.add(from);
		} else {
			this.#denied = true;
		}
	}

	complete(): boolean {
		return !this.#denied && this.#unansweredGroups().length === 0;
	}

	expired(now: Millis): boolean {
		return this.#startedAt !== undefined && now - this.#startedAt >= expiryMs;
	}

	#unansweredGroups(): readonly Group[] {
		return this.#groups().filter(({members}) => members.length > 0 && !members.some(member => this.#granted.has(member)));
	}
}
