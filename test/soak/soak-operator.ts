import type {Random} from '../../src/core/common/random.ts';
import {platformConfiguration} from '../fixtures/platform-configuration.ts';
import type {SoakDeployment} from './soak-deployment.ts';

const pauseMs = 350;

/** An operator who changes and reads the configuration at any control node. */
export class SoakOperator {
	readonly problems: string[] = [];
	/** Newest version that was accepted. */
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

	/** Sends the next version; true if it was accepted. */
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

	/** Reads the configuration: none may be older than what was accepted before. */
	async read(node = this.#pickControlNode()): Promise<boolean> {
		const minVersion = this.accepted;
		const answer = await this.#deployment.callOperatorApi(node, 'GET', '/configuration');
		if (answer?.status !== 200) {
			return false;
		}

		this.reads += 1;
		const {version} = JSON.parse(answer.text) as {version: number};
		if (version < minVersion) {
			this.problems.push(`${node.name} gave version ${version} after ${minVersion} had been accepted`);
		}

		if (answer.text !== platformConfiguration(version)) {
			this.problems.push(`${node.name} gave another text for version ${version} than was sent`);
		}

		return true;
	}

	#pickControlNode() {
		const {control} = this.#deployment;
		return control[Math.floor(this.#random.next() * control.length)]!;
	}
}
