import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/core/common/random.ts';
import type {SoakDeployment} from './soak-deployment.ts';
import type {SoakNode} from './soak-node.ts';

type SoakFault = {
	readonly name: string;
	/** Nodes that the fault affects. */
	readonly nodes: readonly SoakNode[];
	begin(): Promise<void> | void;
	/** Reverts the fault; absent if there is nothing to revert. */
	end?(): Promise<void> | void;
};

type Manner = SoakDeployment['engines'][number]['engine']['manner'];

const faultyManners: readonly Manner[] = ['cut', 'short', 'reset', 'full', 'silent', 'foreign', 'unsigned'];
/** Maximum number of disks lost within the time in which a control node catches up with the others, and that time in milliseconds. */
const maxLostDisks = 2;
const catchUpMs = 8000;
/** Maximum length of the incomplete record that a torn write leaves. */
const maxTornBytes = 11;
/** Pause that an engine asks for, in seconds, as it stands in the header. */
const enginePauseSeconds = '2.5';
/** Range of the share of lost packets above its minimum of 0.03; the platform's links lose up to 30 %. */
const maxExtraLoss = 0.27;

/** Draws the faults of a run from its seeded random source. */
export class SoakFaults {
	readonly #deployment: SoakDeployment;
	readonly #random: Random;
	#disksLostAt: number[] = [];

	constructor(deployment: SoakDeployment, random: Random) {
		this.#deployment = deployment;
		this.#random = random;
	}

	pick(now: number): SoakFault {
		const {nodes, control, entries} = this.#deployment;
		return this.#pickItem([
			() => this.#kill(this.#pickItem(nodes), now),
			() => this.#kill(this.#pickItem(control), now),
			() => this.#stop(this.#pickItem(entries)),
			() => this.#freeze(this.#pickItem(nodes)),
			() => this.#cutNode(this.#pickItem(nodes)),
			() => this.#cutRegions(),
			() => this.#slowLinks(this.#pickItem(nodes)),
			() => this.#lossyLinks(this.#pickItem(nodes)),
			() => this.#breakConnections(this.#pickItem(nodes)),
			() => this.#misbehavingEngine(),
			() => this.#misbehavingEngine(),
			() => this.#killAllControl(),
		])();
	}

	/** Kills a process; it restarts with its data folder intact, with a torn write at the end of its journal, or with an empty folder. */
	#kill(node: SoakNode, now: number): SoakFault {
		this.#disksLostAt = this.#disksLostAt.filter(at => now - at < catchUpMs);
		const drawnDisk = node.role === 'control' ? this.#pickItem(['kept', 'torn', 'lost'] as const) : 'kept';
		const disk = drawnDisk === 'lost' && this.#disksLostAt.length >= maxLostDisks ? 'kept' : drawnDisk;
		if (disk === 'lost') {
			this.#disksLostAt.push(now);
		}

		return {
			name: `kill ${node.name}, disk ${disk}`,
			nodes: [node],
			async begin() {
				await node.end('SIGKILL');
			},
			end: () => {
				if (!node.up && disk === 'lost') {
					node.loseDisk();
				} else if (!node.up && disk === 'torn') {
					node.appendTornWrite(1 + Math.floor(this.#random.next() * maxTornBytes));
				}

				node.start();
			},
		};
	}

	#stop(node: SoakNode): SoakFault {
		return {
			name: `stop ${node.name}`,
			nodes: [node],
			async begin() {
				await node.end('SIGTERM');
			},
			end() {
				node.start();
			},
		};
	}

	#freeze(node: SoakNode): SoakFault {
		return {
			name: `pause ${node.name}`,
			nodes: [node],
			begin() {
				node.setFrozen(true);
			},
			end() {
				node.setFrozen(false);
			},
		};
	}

	/** Kills all control nodes at once, as a power failure would. */
	#killAllControl(): SoakFault {
		const {control} = this.#deployment;
		return {
			name: 'kill all control',
			nodes: control,
			async begin() {
				await Promise.all(control.map(async node => node.end('SIGKILL')));
			},
			async end() {
				for (const node of control) {
					node.start();
					await sleep(20); // eslint-disable-line no-await-in-loop
				}
			},
		};
	}

	#cutNode(node: SoakNode): SoakFault {
		return this.#cut(`cut ${node.name}`, new Set([node.name]), new Set(this.#nodeNames().filter(name => name !== node.name)), [node]);
	}

	#cutRegions(): SoakFault {
		const one = this.#pickItem(this.#deployment.regions);
		const other = this.#pickItem(this.#deployment.regions.filter(region => region !== one));
		const affected = this.#deployment.nodes.filter(({region}) => region === one || region === other);
		return this.#cut(`cut ${one} from ${other}`, this.#nodeNamesOfRegion(one), this.#nodeNamesOfRegion(other), affected);
	}

	/** Cuts the links between two sets of nodes, in both directions or only for the bytes that the first set sends. */
	#cut(name: string, left: ReadonlySet<string>, right: ReadonlySet<string>, nodes: readonly SoakNode[]): SoakFault {
		const {links} = this.#deployment;
		const oneWay = this.#random.next() < 0.5;
		const [out, back] = [links.between(left, right), links.between(right, left)];
		return {
			name: oneWay ? `${name}, one way` : name,
			nodes,
			begin() {
				for (const proxy of out) {
					proxy.cut(oneWay ? 'forward' : 'both');
				}

				for (const proxy of back) {
					proxy.cut(oneWay ? 'backward' : 'both');
				}
			},
			end() {
				for (const proxy of [...out, ...back]) {
					proxy.heal();
				}
			},
		};
	}

	#slowLinks(node: SoakNode): SoakFault {
		const proxies = this.#linksOf(node);
		const delayMs = 50 + Math.floor(this.#random.next() * 400);
		return {
			name: `${delayMs} ms to and from ${node.name}`,
			nodes: [node],
			begin() {
				for (const proxy of proxies) {
					proxy.delay(delayMs);
				}
			},
			end() {
				for (const proxy of proxies) {
					proxy.heal();
				}
			},
		};
	}

	/** Simulates packet loss as TCP shows it: the bytes behind a lost packet wait for its retransmission. */
	#lossyLinks(node: SoakNode): SoakFault {
		const proxies = this.#linksOf(node);
		const loss = 0.03 + (this.#random.next() * maxExtraLoss);
		return {
			name: `${Math.round(loss * 100)} % loss to and from ${node.name}`,
			nodes: [node],
			begin() {
				for (const proxy of proxies) {
					proxy.lose(loss);
				}
			},
			end() {
				for (const proxy of proxies) {
					proxy.heal();
				}
			},
		};
	}

	/** Resets open connections or leaves them half-open, without a close on the client side. */
	#breakConnections(node: SoakNode): SoakFault {
		const proxies = this.#linksOf(node);
		const halfOpen = this.#random.next() < 0.5;
		return {
			name: `${halfOpen ? 'half-open' : 'reset'} links of ${node.name}`,
			nodes: [node],
			begin() {
				for (const proxy of proxies) {
					if (halfOpen) {
						proxy.halfOpen();
					} else {
						proxy.reset();
					}
				}
			},
		};
	}

	#misbehavingEngine(): SoakFault {
		const {engine} = this.#pickItem(this.#deployment.engines);
		const manner = this.#pickItem(faultyManners);
		const unframed = this.#random.next() < 0.5;
		// A refusal has no body to be framed. Another draw would change what the seeds of earlier failures play.
		const pauseSeconds = manner === 'full' && unframed ? enginePauseSeconds : undefined;
		return {
			name: `${engine.identifier}: ${manner}${unframed ? ', unframed' : ''}${pauseSeconds === undefined ? '' : `, asks for pauses of ${pauseSeconds} s`}`,
			nodes: [],
			begin() {
				engine.manner = manner;
				engine.unframed = unframed;
				engine.pauseSeconds = pauseSeconds;
			},
			end() {
				engine.manner = 'well';
				engine.unframed = false;
				engine.pauseSeconds = undefined;
			},
		};
	}

	#linksOf(node: SoakNode) {
		const self = new Set([node.name]);
		const others = new Set(this.#nodeNames().filter(name => name !== node.name));
		return [...this.#deployment.links.between(self, others), ...this.#deployment.links.between(others, self)];
	}

	#nodeNames(): string[] {
		return this.#deployment.nodes.map(({name}) => name);
	}

	#nodeNamesOfRegion(region: string): ReadonlySet<string> {
		return new Set(this.#deployment.nodes.filter(node => node.region === region).map(({name}) => name));
	}

	#pickItem<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#random.next() * items.length)]!;
	}
}
