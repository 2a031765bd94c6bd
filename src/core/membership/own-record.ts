import type {ServiceSummary} from '../targets/service-summary.ts';
import type {MemberUpdate} from './member-update.ts';
import type {NodeInfo} from './node-info.ts';
import type {NodeView} from './node-view.ts';

type OwnState = {
	readonly revision: number;
	readonly load: number;
	readonly draining: boolean;
	readonly services: readonly ServiceSummary[];
};

/** Smallest change of the load that changes the record. Such a change alone is not queued for gossip: it goes with this node's next pings and acks. */
const loadStep = 0.05;

/** This node's own member record. */
export class OwnRecord {
	#info: NodeInfo;
	#sequence = 0;
	#beat = 0;
	#state: OwnState = {
		revision: 0, load: 0, draining: false, services: [],
	};

	constructor(info: NodeInfo) {
		this.#info = info;
	}

	get info(): NodeInfo {
		return this.#info;
	}

	get services(): readonly ServiceSummary[] {
		return this.#state.services;
	}

	/** Updates this node's state. An `urgent` change must be gossiped at once, a `soft` one with the next messages. */
	report(state: OwnState): 'urgent' | 'soft' | 'none' {
		const last = this.#state;
		const load = Math.abs(state.load - last.load) >= loadStep ? state.load : last.load;
		if (state.revision !== last.revision || load !== last.load) {
			this.#beat += 1;
		}

		this.#state = {...state, load};
		if (state.draining !== last.draining) {
			this.#sequence += 1;
			return 'urgent';
		}

		return state.revision === last.revision ? 'none' : 'soft';
	}

	/**
	 * Refutes a record of this node that says it is not alive, or that has a later incarnation (the wall clock went back).
	 * True if this node's record changed and must be gossiped at once.
	 */
	refute(update: MemberUpdate): boolean {
		if (update.incarnation > this.#info.incarnation) {
			this.#info = {...this.#info, incarnation: update.incarnation + 1};
			this.#sequence += 1;
			return true;
		}

		const same = update.incarnation === this.#info.incarnation;
		if (same && update.state !== 'alive' && update.sequence >= this.#sequence) {
			this.#sequence = update.sequence + 1;
			return true;
		}

		return false;
	}

	/** The record as it is gossiped. */
	update(withInfo: boolean): MemberUpdate {
		return {
			nodeId: this.#info.nodeId,
			incarnation: this.#info.incarnation,
			sequence: this.#sequence,
			state: 'alive',
			draining: this.#state.draining,
			beat: this.#beat,
			revision: this.#state.revision,
			load: this.#state.load,
			...(withInfo && {info: this.#info}),
		};
	}

	view(): NodeView {
		const {draining, revision, load} = this.#state;
		return {
			info: this.#info, state: 'alive', draining, revision, load,
		};
	}
}
