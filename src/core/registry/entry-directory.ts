import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {CallerLocation} from './caller-location.ts';
import type {EntryStatus} from './entry-status.ts';

/** Time without a status after which an entry is no longer listed, in milliseconds: five status intervals. */
const statusLeaseMs = 2500;
/** Most addresses returned to a caller. */
const maxAddresses = 64;

type KnownEntry = {status: EntryStatus; heardAt: Millis; direct: boolean};

/** Directory of the entries that one control node knows, for callers that look up addresses, and for other entries. */
export class EntryDirectory {
	readonly #entries = new Map<NodeId, KnownEntry>();

	/** Takes a status that was sent `ageMs` ago, unless a newer one is known. `direct` is true if the entry sent it to this node itself. */
	update(status: EntryStatus, now: Millis, {direct = true, ageMs = 0}: {direct?: boolean; ageMs?: number} = {}): void {
		const heardAt = now - ageMs as Millis;
		const known = this.#entries.get(status.nodeId);
		if (known !== undefined && known.heardAt > heardAt) {
			return;
		}

		this.#entries.set(status.nodeId, {status, heardAt, direct});
	}

	tick(now: Millis): void {
		for (const [nodeId, {heardAt}] of this.#entries) {
			if (now - heardAt > statusLeaseMs) {
				this.#entries.delete(nodeId);
			}
		}
	}

	/** Statuses that entries sent to this node itself, with their ages in milliseconds. */
	directStatuses(now: Millis): ReadonlyArray<{status: EntryStatus; ageMs: number}> {
		return [...this.#entries.values()]
			.filter(({direct}) => direct)
			.map(({status, heardAt}) => ({status, ageMs: Math.round(now - heardAt)}));
	}

	/** Entries that accept requests and have sent a status recently. */
	readyEntries(now: Millis): readonly EntryStatus[] {
		return [...this.#entries.values()]
			.filter(({status, heardAt}) => status.state === 'ready' && now - heardAt <= statusLeaseMs)
			.map(({status}) => status);
	}

	/** Entries for a caller to connect to: ready entries of its region, those of its zone first; all ready entries if its region has none. */
	entriesFor(caller: CallerLocation, now: Millis): readonly EntryStatus[] {
		const ready = this.readyEntries(now);
		const sameRegion = ready.filter(({region}) => region === caller.region);
		const chosen = sameRegion.length > 0 ? sameRegion : ready;
		return chosen
			.toSorted((left, right) => Number(right.zone === caller.zone) - Number(left.zone === caller.zone))
			.slice(0, maxAddresses);
	}
}
