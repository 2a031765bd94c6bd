import type {Random} from '../../src/core/common/random.ts';
import {invalidConfiguration} from './invalid-configuration.ts';
import {soakConfiguration} from './soak-configuration.ts';
import type {SoakDeployment} from './soak-deployment.ts';

const pauseMs = 350;
/** Shares of the pauses after which an invalid change or an accepted one is sent as well. */
const invalidShare = 0.1;
const resentShare = 0.1;

/** Simulates an operator who writes and reads the configuration at random control nodes. */
export class SoakOperator {
	readonly problems: string[] = [];
	/** Highest version that a control node accepted. */
	accepted = 0;
	changes = 0;
	reads = 0;
	/** Highest version that was sent to a control node. */
	sentVersion = 0;
	/** Accepted versions, and when, in milliseconds since the start of the run. */
	readonly acks: Array<{readonly version: number; readonly at: number}> = [];
	readonly #deployment: SoakDeployment;
	readonly #random: Random;
	/** For calls that the seeds of earlier failures don't have: further draws from `random` would change what they play. */
	readonly #furtherRandom: Random;
	readonly #now: () => number;
	#timer: NodeJS.Timeout | undefined;

	constructor(deployment: SoakDeployment, {random, furtherRandom, now}: {random: Random; furtherRandom: Random; now: () => number}) {
		this.#deployment = deployment;
		this.#random = random;
		this.#furtherRandom = furtherRandom;
		this.#now = now;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void (this.#random.next() < 0.4 ? this.change() : this.read());
			const draw = this.#furtherRandom.next();
			if (draw < invalidShare) {
				void this.#sendInvalid();
			} else if (draw < invalidShare + resentShare) {
				void this.#resend();
			}
		}, pauseMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Submits the next version; returns true if it is accepted. */
	async change(): Promise<boolean> {
		this.sentVersion += 1;
		const version = this.sentVersion;
		const answer = await this.#deployment.callOperatorApi(this.#pickControlNode(), 'PUT', '/configuration', soakConfiguration(version));
		if (answer?.status !== 200) {
			return false;
		}

		this.changes += 1;
		this.accepted = Math.max(this.accepted, version);
		this.acks.push({version, at: this.#now()});
		return true;
	}

	/** Reads the configuration, which must not be older than the version accepted before the read; returns true if the read is answered. */
	async read(node = this.#pickControlNode()): Promise<boolean> {
		const minVersion = this.accepted;
		const answer = await this.#deployment.callOperatorApi(node, 'GET', '/configuration');
		if (answer?.status !== 200) {
			return false;
		}

		this.reads += 1;
		const {version} = JSON.parse(answer.text) as {version: number};
		if (version < minVersion) {
			this.problems.push(`${node.name} returned version ${version} after version ${minVersion} had been accepted`);
		}

		if (answer.text !== soakConfiguration(version)) {
			this.problems.push(`${node.name} returned a different text for version ${version} than was submitted`);
		}

		return true;
	}

	async #sendInvalid(): Promise<void> {
		const node = this.#pickControlNode(this.#furtherRandom);
		const text = invalidConfiguration(this.sentVersion + 1, this.#furtherRandom.next());
		const answer = await this.#deployment.callOperatorApi(node, 'PUT', '/configuration', text);
		if (answer?.status === 200) {
			this.problems.push(`${node.name} accepted an invalid configuration: ${text.slice(-300)}`);
		}
	}

	/** Sends a version again that was accepted, the newest one or an older one; it must not be refused. */
	async #resend(): Promise<void> {
		if (this.acks.length === 0) {
			return;
		}

		const node = this.#pickControlNode(this.#furtherRandom);
		const {version} = this.#furtherRandom.next() < 0.5 ? this.acks.at(-1)! : this.acks[Math.floor(this.#furtherRandom.next() * this.acks.length)]!;
		const answer = await this.#deployment.callOperatorApi(node, 'PUT', '/configuration', soakConfiguration(version));
		if (answer !== undefined && answer.status !== 200 && answer.status < 500) {
			this.problems.push(`${node.name} refused version ${version}, which had been accepted, with ${answer.status}: ${answer.text}`);
		}
	}

	#pickControlNode(random = this.#random) {
		const {control} = this.#deployment;
		return control[Math.floor(random.next() * control.length)]!;
	}
}
