import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import {consensusTiming} from './consensus-timing.ts';
import type {LogMember} from './log-member.ts';
import type {MemberContext} from './member-context.ts';
import {memberKey} from './member-key.ts';

/** Members that asked to join a short time ago. The next leader is named to them at once, so that it has standbys when it finds voters to be gone. */
export class WaitingLearners {
	readonly #context: MemberContext;
	readonly #asked = new Map<string, {readonly member: LogMember; readonly at: Millis}>();

	constructor(context: MemberContext) {
		this.#context = context;
	}

	add(member: LogMember, now: Millis): void {
		this.#dropOld(now);
		this.#asked.set(memberKey(member), {member, at: now});
	}

	/** The members that still wait: they ask again every `joinIntervalMs`. */
	take(now: Millis): readonly LogMember[] {
		this.#dropOld(now);
		const members = [...this.#asked.values()].map(({member}) => member);
		this.#asked.clear();
		return members;
	}

	/** Names the leader to a member that asked to join. */
	redirect(member: LogMember, leader: NodeId): void {
		if (leader !== member.nodeId) {
			this.#context.send(member.nodeId, {type: 'join-redirect', leader}, member.storageId);
		}
	}

	/** Names a leader that has just been heard to all members that still wait. */
	redirectAll(leader: NodeId, now: Millis): void {
		for (const member of this.take(now)) {
			this.redirect(member, leader);
		}
	}

	#dropOld(now: Millis): void {
		for (const [key, {at}] of this.#asked) {
			if (now - at > 2 * consensusTiming.joinIntervalMs) {
				this.#asked.delete(key);
			}
		}
	}
}
