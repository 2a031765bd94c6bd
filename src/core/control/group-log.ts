import type {Outbox} from '../common/outbox.ts';
import type {ConsensusStatus} from '../consensus/consensus-status.ts';
import {pendingMember} from '../consensus/pending-member.ts';

/** Logs changes of role, leader or voters of the replicated log, as one node sees them. */
export class GroupLog {
	readonly #outbox: Outbox;
	#logged = '';

	constructor(outbox: Outbox) {
		this.#outbox = outbox;
	}

	/** Logs the group if it differs from the one that was logged last. */
	record(status: ConsensusStatus, documentVersion: number | undefined): void {
		const {role, leader, voters, term, commitIndex} = status;
		const pending = pendingMember(status);
		const group = `${role} ${leader} ${voters.join(',')} ${pending}`;
		if (group !== this.#logged) {
			this.#logged = group;
			this.#outbox.event('group-changed', {
				role, leader, voters, pending, term, commitIndex, version: documentVersion,
			});
		}
	}
}
