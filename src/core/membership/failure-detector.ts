import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {MemberEntry} from './member-entry.ts';
import {sample} from './sample.ts';

type Probe = {
	readonly target: NodeId;
	readonly startedAt: Millis;
	/** Pings sent so far. */
	pings: number;
};

/** A ping made for another node. */
type HelperProbe = {
	readonly requester: NodeId;
	readonly requestProbe: number;
	readonly startedAt: Millis;
};

/** What the detector wants sent or noted. */
type DetectorStep =
	| {readonly type: 'ping'; readonly target: NodeId; readonly probe: number}
	| {readonly type: 'ask'; readonly helper: NodeId; readonly target: NodeId; readonly probe: number}
	| {readonly type: 'suspect'; readonly target: NodeId};

type FailureDetectorOptions = {
	readonly random: Random;
	/** @default 300 */
	readonly periodMs?: number;
	/** Members probed in each period. @default 2 */
	readonly probesPerPeriod?: number;
};

/** Regions with no more other members than this have all of them probed in each period. */
const probeAllLimit = 3;
/** Members asked at once to ping one that did not answer. */
const helpersPerProbe = 3;
/** Repetitions of a ping for which others are asked too. */
const helperRounds = 2;
/** Pause before a ping is repeated, in milliseconds. */
const repeatPingMs = 200;
/** Time after which a member that answered no ping is suspect, in milliseconds. */
const suspectAfterMs = 800;
/** Pause between pings to a member that is believed dead, in milliseconds. */
const deadPingMs = 1000;

/** Probes members in random order without repetition, through others where they do not answer. */
export class FailureDetector {
	readonly #random: Random;
	readonly #periodMs: number;
	readonly #probesPerPeriod: number;
	readonly #probes = new Map<number, Probe>();
	readonly #helperProbes = new Map<number, HelperProbe>();
	#probeOrder: NodeId[] = [];
	#lastProbe = 0;
	/** Probes up to this one were made before the last pause. */
	#staleProbe = 0;
	#nextPeriodAt = 0;
	#nextDeadPingAt = 0;
	#lastAckAt = -Infinity;

	constructor({random, periodMs = 300, probesPerPeriod = 2}: FailureDetectorOptions) {
		this.#random = random;
		this.#periodMs = periodMs;
		this.#probesPerPeriod = probesPerPeriod;
	}

	/** Starts, repeats and ends probes. */
	tick(members: readonly MemberEntry[], now: Millis): readonly DetectorStep[] {
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

	/** False for the answer to a probe that was made before the last pause of this process. */
	isCurrent(probe: number): boolean {
		return probe > this.#staleProbe;
	}

	/** Notes an answer from a member: it ends that probe and earlier ones. Returns whom the ping was made for, if for another. */
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

	/** Notes that a helper reached the target of a probe. */
	ackedIndirectly(probe: number, target: NodeId): boolean {
		if (this.#probes.get(probe)?.target !== target) {
			return false;
		}

		return this.#probes.delete(probe);
	}

	/** Pings a member for another one; returns the probe number to use. */
	startHelperProbe(requester: NodeId, requestProbe: number, now: Millis): number {
		this.#lastProbe += 1;
		this.#helperProbes.set(this.#lastProbe, {requester, requestProbe, startedAt: now});
		return this.#lastProbe;
	}

	/** True if some member answered lately, so that this node's own links work. */
	hasRecentAck(now: Millis): boolean {
		return now - this.#lastAckAt < suspectAfterMs;
	}

	/** Drops all probes under way: after a pause of this process their silence means nothing. */
	reset(): void {
		this.#probes.clear();
		this.#helperProbes.clear();
		this.#staleProbe = this.#lastProbe;
		this.#nextPeriodAt = 0;
		this.#lastAckAt = -Infinity;
	}

	#continueProbes(members: readonly MemberEntry[], now: Millis): DetectorStep[] {
		const steps: DetectorStep[] = [];
		for (const [id, probe] of this.#probes) {
			const age = now - probe.startedAt;
			if (age >= suspectAfterMs) {
				this.#probes.delete(id);
				steps.push({type: 'suspect', target: probe.target});
			} else if (age >= probe.pings * repeatPingMs) {
				steps.push(...this.#repeatPing(id, probe, members));
			}
		}

		for (const [id, {startedAt}] of this.#helperProbes) {
			if (now - startedAt > suspectAfterMs) {
				this.#helperProbes.delete(id);
			}
		}

		return steps;
	}

	#repeatPing(id: number, probe: Probe, members: readonly MemberEntry[]): DetectorStep[] {
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

	#startProbes(members: readonly MemberEntry[], now: Millis): DetectorStep[] {
		const present = members.filter(({state}) => state !== 'dead').map(({info}) => info.nodeId);
		const targets = present.length <= probeAllLimit ? present : this.#nextTargets(present);
		return targets.map(target => {
			this.#lastProbe += 1;
			this.#probes.set(this.#lastProbe, {target, startedAt: now, pings: 1});
			return {type: 'ping', target, probe: this.#lastProbe};
		});
	}

	#nextTargets(present: readonly NodeId[]): NodeId[] {
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

	/** Pings a few members that are believed dead, so that the two sides of a healed partition meet. */
	#pingDead(members: readonly MemberEntry[]): DetectorStep[] {
		const dead = members.filter(({state}) => state === 'dead').map(({info}) => info.nodeId);
		return sample(dead, this.#probesPerPeriod, this.#random).map(target => {
			this.#lastProbe += 1;
			return {type: 'ping', target, probe: this.#lastProbe};
		});
	}
}
