import type {Random} from '../../src/core/common/random.ts';
import {platformConfiguration} from '../fixtures/platform-configuration.ts';
import type {SoakDeployment} from './soak-deployment.ts';

const pauseMs = 350;

/** Simulates an operator who writes and reads the configuration at random control nodes. */
export class SoakOperator {
	readonly problems: string[] = [];
	/** Highest version that a control node accepted. */
	accepted = 0;
	changes = 0;
	reads = 0;
	readonly #deployment: SoakDeployment;
	readonly #random: Random;
	#sentVersion = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(deployment: SoakDeployment, random: Random) {
		this.#deployment = deployment;
		this.#random = random;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void (this.#random.next() < 0.4 ? this.change() : this.read());
		}, pauseMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Submits the next version; returns true if it is accepted. */
	async change(): Promise<boolean> {
		this.#sentVersion += 1;
		const version = this.#sentVersion;
		const answer = await this.#deployment.callOperatorApi(this.#pickControlNode(), 'PUT', '/configuration', platformConfiguration(version));
		if (answer?.status !== 200) {
			return false;
		}

		this.changes += 1;
		this.accepted = Math.max(this.accepted, version);
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

		if (answer.text !== platformConfiguration(version)) {
			this.problems.push(`${node.name} returned a different text for version ${version} than was submitted`);
		}

		return true;
	}

	#pickControlNode() {
		const {control} = this.#deployment;
		return control[Math.floor(this.#random.next() * control.length)]!;
	}
}
