import {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {CallerLocation} from './caller-location.ts';
import type {EntryStatus} from './entry-status.ts';

/** Time without a status after which an entry is no longer listed, in milliseconds: five status intervals. */
const statusLeaseMs = 2500;
/** Most addresses returned to a caller. */
const maxAddresses = 64;

/** An entry; `awakeHeardAt` is `heardAt` on the directory's clock that stops with the process. */
type KnownEntry = {status: EntryStatus; heardAt: Millis; awakeHeardAt: Millis; direct: boolean};

/** Directory of the entries that one control node knows, for callers that look up addresses, and for other entries. */
export class EntryDirectory {
	readonly #awake = new AwakeClock();
	readonly #entries = new Map<NodeId, KnownEntry>();

	/** Takes a status that was sent `ageMs` ago, unless a newer one is known. `direct` is true if the entry sent it to this node itself. */
	update(status: EntryStatus, now: Millis, {direct = true, ageMs = 0}: {direct?: boolean; ageMs?: number} = {}): void {
		const heardAt = now - ageMs as Millis;
		const awakeHeardAt = this.#awake.step(now) - ageMs as Millis;
		const known = this.#entries.get(status.nodeId);
		if (known !== undefined && known.heardAt > heardAt) {
			return;
		}

		this.#entries.set(status.nodeId, {
			status, heardAt, awakeHeardAt, direct,
		});
	}

	tick(now: Millis): void {
		this.#awake.step(now);
		for (const [nodeId, entry] of this.#entries) {
			if (this.#isSilent(entry)) {
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
		this.#awake.step(now);
		return [...this.#entries.values()]
			.filter(entry => entry.status.state === 'ready' && !this.#isSilent(entry))
			.map(({status}) => status);
	}

	/**
	 * Entries for a caller to connect to: ready entries of its region, those of its zone first. If its region has none, ready
	 * entries of the regions that `homes` returns, or of all regions if it returns undefined: an entry elsewhere would get
	 * requests that must not leave their homes.
	 */
	entriesFor(caller: CallerLocation, homes: () => ReadonlySet<Region> | undefined, now: Millis): readonly EntryStatus[] {
		const ready = this.readyEntries(now);
		const sameRegion = ready.filter(({region}) => region === caller.region);
		if (sameRegion.length === 0) {
			const allowed = homes();
			return ready.filter(({region}) => allowed?.has(region) ?? true).slice(0, maxAddresses);
		}

		return sameRegion
			.toSorted((left, right) => Number(right.zone === caller.zone) - Number(left.zone === caller.zone))
			.slice(0, maxAddresses);
	}

	#isSilent({awakeHeardAt}: KnownEntry): boolean {
		return this.#awake.now - awakeHeardAt > statusLeaseMs;
	}
}
