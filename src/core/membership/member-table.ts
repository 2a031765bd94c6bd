import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {AddressBook} from './address-book.ts';
import type {KnownMember} from './known-member.ts';
import type {MemberUpdate} from './member-update.ts';
import type {NodeInfo} from './node-info.ts';
import type {NodeView} from './node-view.ts';

const stateRank = {alive: 0, suspect: 1, dead: 2} as const;

/** Time in which a suspect can refute before it is declared dead, in milliseconds. */
const suspicionTimeoutMs = 2000;
/** How long a dead member is kept, in milliseconds; longer than a usual network partition. */
const deadRetentionMs = 600_000;

/** The other members of this node's region, each by the newest record received. */
export class MemberTable {
	readonly #members = new Map<NodeId, KnownMember>();
	readonly #book: AddressBook;

	constructor(book: AddressBook) {
		this.#book = book;
	}

	/** Adds a member that the settings name and that has not been heard from yet. */
	addSeed(info: NodeInfo, now: Millis): void {
		this.#members.set(info.nodeId, {
			info: {...info, incarnation: 0}, state: 'dead', sequence: 0, draining: false, beat: 0, revision: 0, load: 0, since: now, local: true,
		});
	}

	get(nodeId: NodeId): KnownMember | undefined {
		return this.#members.get(nodeId);
	}

	all(): KnownMember[] {
		return [...this.#members.values()];
	}

	/** Members that are probed: alive or suspect. */
	present(): KnownMember[] {
		return this.all().filter(member => member.state !== 'dead');
	}

	alive(): KnownMember[] {
		return this.all().filter(member => member.state === 'alive');
	}

	/**
	 * Merges a record. `changed` must be gossiped at once; `soft` has a new settings revision, perhaps with a new load,
	 * and may be gossiped later; `unknown` needs the member's address data first.
	 */
	merge(update: MemberUpdate, now: Millis): 'changed' | 'soft' | 'unknown' | 'ignored' {
		const member = this.#members.get(update.nodeId);
		const known = member?.info.incarnation ?? -1;
		if (update.incarnation < known) {
			return 'ignored';
		}

		if (!member || update.incarnation > known) {
			return this.#replace(update, now);
		}

		const soft = this.#mergeSoft(member, update);
		const changed = this.#mergeState(member, update, now);
		if (changed) {
			return 'changed';
		}

		return soft ? 'soft' : 'ignored';
	}

	/** Sets a member's state; with `local`, as this node's own belief that isn't gossiped. */
	setState(member: KnownMember, state: KnownMember['state'], local: boolean, now: Millis): void {
		member.state = state;
		member.local = local;
		member.since = now;
	}

	/** Declares suspects dead that did not refute in time; returns those whose state must be gossiped. */
	expireSuspects(now: Millis): NodeId[] {
		const ended = this.all().filter(({state, since}) => state === 'suspect' && now - since >= suspicionTimeoutMs);
		for (const member of ended) {
			this.setState(member, 'dead', member.local, now);
		}

		return ended.filter(({local}) => !local).map(({info}) => info.nodeId);
	}

	/** Removes members that have been dead for long, except those that the settings name. */
	removeExpired(now: Millis): void {
		for (const [nodeId, member] of this.#members) {
			if (member.state === 'dead' && now - member.since > deadRetentionMs && !this.#book.isSeed(nodeId)) {
				this.#members.delete(nodeId);
			}
		}
	}

	view({info, state, draining, revision, load}: KnownMember): NodeView {
		return {
			info, state, draining, revision, load,
		};
	}

	/** The gossip record of a member; a state that is only local is sent as `alive`. */
	toUpdate(member: KnownMember, withInfo: boolean): MemberUpdate {
		return {
			nodeId: member.info.nodeId,
			incarnation: member.info.incarnation,
			sequence: member.sequence,
			state: member.local ? 'alive' : member.state,
			draining: member.draining,
			beat: member.beat,
			revision: member.revision,
			load: member.load,
			...(withInfo && {info: member.info}),
		};
	}

	/** Records of all members that have been heard from, directly or through others. */
	updates(): MemberUpdate[] {
		return this.all()
			.filter(member => member.info.incarnation > 0)
			.map(member => this.toUpdate(member, false));
	}

	/** Hash over this node's view of all members that are not dead: equal on nodes that agree, in whatever order they keep the members. */
	digest(self: MemberUpdate): number {
		let digest = hash32(`${self.nodeId}/${self.incarnation}/${self.sequence}/alive`);
		for (const member of this.#members.values()) {
			const {info, sequence, state} = member;
			if (state !== 'dead') {
				digest = (digest ^ hash32(`${info.nodeId}/${info.incarnation}/${sequence}/${state}`)) >>> 0;
			}
		}

		return digest;
	}

	#replace(update: MemberUpdate, now: Millis): 'changed' | 'unknown' | 'ignored' {
		if (!update.info) {
			return update.state === 'dead' ? 'ignored' : 'unknown';
		}

		this.#members.set(update.nodeId, {
			info: this.#book.resolve(update.info),
			state: update.state,
			sequence: update.sequence,
			draining: update.draining,
			beat: update.beat,
			revision: update.revision,
			load: update.load,
			since: now,
			local: false,
		});
		return 'changed';
	}

	#mergeSoft(member: KnownMember, update: MemberUpdate): boolean {
		if (update.beat <= member.beat) {
			return false;
		}

		const changed = update.revision !== member.revision;
		member.beat = update.beat;
		member.revision = update.revision;
		member.load = update.load;
		return changed;
	}

	#mergeState(member: KnownMember, update: MemberUpdate, now: Millis): boolean {
		const known = member.local ? 'alive' : member.state;
		const newer = update.sequence > member.sequence
			|| (update.sequence === member.sequence && stateRank[update.state] > stateRank[known]);
		if (!newer) {
			return false;
		}

		member.sequence = update.sequence;
		member.draining = update.draining;
		if (update.state !== member.state || member.local) {
			this.setState(member, update.state, false, now);
		}

		return true;
	}
}
