import assert from 'node:assert/strict';
import type {Zone} from '../../../src/core/ids/zone.ts';
import type {ControlCluster} from '../../fixtures/control-cluster.ts';

type SentCall =
	| {readonly type: 'document'; readonly callId: string; readonly version: number}
	| {readonly type: 'evacuation'; readonly callId: string; readonly zone: Zone; readonly active: boolean}
	/** A read; `minVersion` is the newest version that was accepted before it was sent. */
	| {readonly type: 'read'; readonly callId: string; readonly minVersion: number};

/** Checks what control nodes answer to the calls of a schedule: an assertion fails if an accepted change is lost or a read is stale. */
export class ScheduleChecker {
	/** Number of answers checked so far. */
	answers = 0;
	/** Newest document version that was accepted. */
	acceptedVersion = 0;
	readonly #cluster: ControlCluster;
	/** Newest document version seen at each run of a node. */
	readonly #seenVersions = new Map<string, number>();
	/** Expected evacuation of each zone after its last accepted command; undefined after a command without a definite answer. */
	readonly #expectedEvacuations = new Map<Zone, boolean | undefined>();
	#calls: SentCall[] = [];

	constructor(cluster: ControlCluster) {
		this.#cluster = cluster;
	}

	/** Takes a call that was sent. */
	add(call: SentCall): void {
		if (call.type === 'evacuation') {
			this.#expectedEvacuations.set(call.zone, undefined);
		}

		this.#calls.push(call);
	}

	/** True while a command for the zone has no answer. */
	isEvacuating(zone: Zone): boolean {
		return this.#calls.some(call => call.type === 'evacuation' && call.zone === zone);
	}

	/** Checks the answers that have come since the last check, and that no process goes back to an older document version. */
	check(): void {
		this.#checkVersions();
		this.#calls = this.#calls.filter(call => {
			const answer = this.#cluster.answers.get(call.callId);
			if (answer !== undefined && answer.type !== 'unavailable') {
				this.answers += 1;
				this.#checkAnswer(call, answer);
			}

			return answer === undefined;
		});
	}

	/** Checks that the zones in a state are those that the accepted commands ask for. */
	checkEvacuated(evacuated: readonly Zone[]): void {
		for (const [zone, active] of this.#expectedEvacuations) {
			if (active !== undefined) {
				assert.equal(evacuated.includes(zone), active, `evacuation of ${zone}`);
			}
		}
	}

	#checkAnswer(call: SentCall, answer: {type: 'accepted'} | {type: 'document'; document: {version: number; text: string} | undefined}): void {
		if (call.type === 'document') {
			this.acceptedVersion = Math.max(this.acceptedVersion, call.version);
		} else if (call.type === 'evacuation') {
			this.#expectedEvacuations.set(call.zone, call.active);
		} else if (answer.type === 'document') {
			const version = answer.document?.version ?? 0;
			assert.ok(version >= call.minVersion, `a read gave version ${version} after ${call.minVersion} had been accepted`);
			assert.equal(answer.document?.text, version === 0 ? undefined : `document ${version}`);
		}
	}

	#checkVersions(): void {
		for (const [index, {core, run}] of this.#cluster.nodes.entries()) {
			const version = core?.status(this.#cluster.clock(index)).documentVersion ?? 0;
			const key = `${index} ${run}`;
			const before = this.#seenVersions.get(key) ?? 0;
			assert.ok(core === undefined || version >= before, `node ${index} went from version ${before} back to ${version}`);
			this.#seenVersions.set(key, Math.max(version, before));
		}
	}
}
