import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';

/** Interval between two sends to groups that have not granted, in milliseconds. */
const resendMs = 250;

/** Sends to one member of a group before the next member is tried. */
const sendsPerMember = 4;

/** Time after which a node that relays a round gives it up, in milliseconds. */
const expiryMs = 5000;

/** A group of nodes; a grant from any one of them is enough. */
type Group = {
	readonly relay: boolean;
	readonly members: readonly NodeId[];
};

type Options = {
	readonly permitId: string;
	/** Groups that have to grant, by current membership: nodes that left drop out, new ones are asked. */
	readonly groups: () => readonly Group[];
	readonly send: (to: NodeId, relay: boolean) => void;
};

/** Collects grants for one permit: complete once a member of each group has granted and none has denied. */
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

	/** True once a node denied the permit. */
	get denied(): boolean {
		return this.#denied;
	}

	/** Sends the request to each group that has not granted, at most once per resend interval. */
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
