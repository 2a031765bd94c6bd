import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {KnownMember} from './known-member.ts';
import {sample} from './sample.ts';

type Probe = {
	readonly target: NodeId;
	readonly startedAt: Millis;
	/** Pings sent so far. */
	pings: number;
};

/** A ping on behalf of another node. */
type HelperProbe = {
	readonly requester: NodeId;
	/** Probe number in the `ping-request`; the `indirect-ack` repeats it. */
	readonly requestProbe: number;
	readonly startedAt: Millis;
};

/** Requests of the detector to its caller: send a ping, send a ping request to a helper, or mark a member as suspect. */
type DetectorStep =
	| {readonly type: 'ping'; readonly target: NodeId; readonly probe: number}
	| {readonly type: 'ask'; readonly helper: NodeId; readonly target: NodeId; readonly probe: number}
	| {readonly type: 'suspect'; readonly target: NodeId};

type FailureDetectorOptions = {
	readonly random: Random;
	/** Interval between probe rounds, in milliseconds. @default 300 */
	readonly periodMs?: number;
	/** Members probed in each round. @default 2 */
	readonly probesPerPeriod?: number;
};

/** Up to this number of other members, all of them are probed in each round. */
const probeAllLimit = 3;
/** Members asked at the same time to ping one that did not reply. */
const helpersPerProbe = 3;
/** Retries of a ping that also go through helpers. */
const helperRounds = 2;
/** Interval between retries of a ping, in milliseconds. */
const pingRetryMs = 200;
/** Time without a reply after which a member is suspect, in milliseconds. */
const suspectAfterMs = 800;
/** Interval between pings to members that are believed dead, in milliseconds. */
const deadPingMs = 1000;

/** Failure detector in the style of SWIM: probes members in shuffled round-robin order, and through helpers if they do not reply. */
export class FailureDetector {
	readonly #random: Random;
	readonly #periodMs: number;
	readonly #probesPerPeriod: number;
	readonly #probes = new Map<number, Probe>();
	readonly #helperProbes = new Map<number, HelperProbe>();
	#probeOrder: NodeId[] = [];
	#lastProbe = 0;
	/** Probes up to this number were started before the last pause of this process. */
	#lastStaleProbe = 0;
	#nextPeriodAt = 0;
	#nextDeadPingAt = 0;
	#lastAckAt = -Infinity;

	constructor({random, periodMs = 300, probesPerPeriod = 2}: FailureDetectorOptions) {
		this.#random = random;
		this.#periodMs = periodMs;
		this.#probesPerPeriod = probesPerPeriod;
	}

	/** Starts, retries and times out probes. */
	tick(members: readonly KnownMember[], now: Millis): readonly DetectorStep[] {
		const steps = this.#continueProbes(members, now);
		if (now >= this.#nextPeriodAt) {
			this.#nextPeriodAt = now + this.#periodMs;
			steps.push(...this.#startProbes(members, now));
		}

		if (now >= this.#nextDeadPingAt) {
			this.#nextDeadPingAt = now + deadPingMs;
			steps.push(...this.#pingDead(members));
		}

		return steps;
	}

	/** False if the probe was started before the last pause of this process. */
	isCurrent(probe: number): boolean {
		return probe > this.#lastStaleProbe;
	}

	/** Ends this probe of a member and earlier ones. Returns the request of another node that the ping was sent for, if any. */
	acked(from: NodeId, probe: number, now: Millis): HelperProbe | undefined {
		this.#lastAckAt = now;
		for (const [id, {target}] of this.#probes) {
			if (target === from && id <= probe) {
				this.#probes.delete(id);
			}
		}

		const helper = this.#helperProbes.get(probe);
		this.#helperProbes.delete(probe);
		return helper;
	}

	/** Ends a probe whose target replied to a helper; false if that probe is not pending. */
	ackedIndirectly(probe: number, target: NodeId): boolean {
		if (this.#probes.get(probe)?.target !== target) {
			return false;
		}

		return this.#probes.delete(probe);
	}

	/** Starts a ping on behalf of another node; returns its probe number. */
	startHelperProbe(requester: NodeId, requestProbe: number, now: Millis): number {
		this.#lastProbe += 1;
		this.#helperProbes.set(this.#lastProbe, {requester, requestProbe, startedAt: now});
		return this.#lastProbe;
	}

	/** True if any member replied recently, which shows that this node's own links work. */
	hasRecentAck(now: Millis): boolean {
		return now - this.#lastAckAt < suspectAfterMs;
	}

	/** Drops all pending probes: after a pause of this process a missing reply says nothing about the member. */
	reset(): void {
		this.#probes.clear();
		this.#helperProbes.clear();
		this.#lastStaleProbe = this.#lastProbe;
		this.#nextPeriodAt = 0;
		this.#lastAckAt = -Infinity;
	}

	#continueProbes(members: readonly KnownMember[], now: Millis): DetectorStep[] {
		const steps: DetectorStep[] = [];
		for (const [id, probe] of this.#probes) {
			const age = now - probe.startedAt;
			if (age >= suspectAfterMs) {
				this.#probes.delete(id);
				steps.push({type: 'suspect', target: probe.target});
			} else if (age >= probe.pings * pingRetryMs) {
				steps.push(...this.#retryPing(id, probe, members));
			}
		}

		for (const [id, {startedAt}] of this.#helperProbes) {
			if (now - startedAt > suspectAfterMs) {
				this.#helperProbes.delete(id);
			}
		}

		return steps;
	}

	#retryPing(id: number, probe: Probe, members: readonly KnownMember[]): DetectorStep[] {
		const steps: DetectorStep[] = [{type: 'ping', target: probe.target, probe: id}];
		if (probe.pings <= helperRounds) {
			const helpers = members.filter(({state, info}) => state === 'alive' && info.nodeId !== probe.target);
			for (const {info} of sample(helpers, helpersPerProbe, this.#random)) {
				steps.push({
					type: 'ask', helper: info.nodeId, target: probe.target, probe: id,
				});
			}
		}

		probe.pings += 1;
		return steps;
	}

	#startProbes(members: readonly KnownMember[], now: Millis): DetectorStep[] {
		const present = members.filter(({state}) => state !== 'dead').map(({info}) => info.nodeId);
		const targets = present.length <= probeAllLimit ? present : this.#nextProbeTargets(present);
		return targets.map(target => {
			this.#lastProbe += 1;
			this.#probes.set(this.#lastProbe, {target, startedAt: now, pings: 1});
			return {type: 'ping', target, probe: this.#lastProbe};
		});
	}

	#nextProbeTargets(present: readonly NodeId[]): NodeId[] {
		const known = new Set(present);
		const targets: NodeId[] = [];
		while (targets.length < this.#probesPerPeriod) {
			if (this.#probeOrder.length === 0) {
				this.#probeOrder = sample(present, present.length, this.#random);
			}

			const target = this.#probeOrder.pop()!;
			if (known.has(target) && !targets.includes(target)) {
				targets.push(target);
			}
		}

		return targets;
	}

	/** Pings a few members that are believed dead, so that both sides rejoin after a network partition heals. */
	#pingDead(members: readonly KnownMember[]): DetectorStep[] {
		const dead = members.filter(({state}) => state === 'dead').map(({info}) => info.nodeId);
		return sample(dead, this.#probesPerPeriod, this.#random).map(target => {
			this.#lastProbe += 1;
			return {type: 'ping', target, probe: this.#lastProbe};
		});
	}
}
