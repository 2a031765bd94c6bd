import type {Random} from '../../src/core/common/random.ts';
import type {SoakDeployment} from './soak-deployment.ts';

/** Time between two changes, in milliseconds. */
const gapMs = {least: 1500, most: 5000};

/** Targets that answer under a new id at their address, one after another, while their connections last. */
export class ChangingIds {
	readonly #deployment: SoakDeployment;
	readonly #random: Random;
	#timer: NodeJS.Timeout | undefined;

	constructor(deployment: SoakDeployment, random: Random) {
		this.#deployment = deployment;
		this.#random = random;
	}

	start(): void {
		this.#timer = setTimeout(() => {
			const {engines} = this.#deployment;
			this.#deployment.takeNewId(engines[Math.floor(this.#random.next() * engines.length)]!);
			this.start();
		}, gapMs.least + (this.#random.next() * (gapMs.most - gapMs.least)));
	}

	stop(): void {
		clearTimeout(this.#timer);
	}
}
