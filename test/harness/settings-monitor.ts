import type {Launcher} from './launcher.ts';

const pollMs = 200;

type Observation = {readonly at: number; readonly node: string; readonly revision: number};

/** Polls the settings revision in force at every node. */
export class SettingsMonitor {
	readonly observations: Observation[] = [];
	readonly #launcher: Launcher;
	#timer: NodeJS.Timeout | undefined;
	#polling = false;

	constructor(launcher: Launcher) {
		this.#launcher = launcher;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.#poll();
		}, pollMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Revision last observed at a node; 0 before the first observation. */
	latestRevision(node: string): number {
		return this.observations.findLast(entry => entry.node === node)?.revision ?? 0;
	}

	/** Wall-clock time in milliseconds at which a node was first observed with this or a later revision; `Infinity` if never. */
	firstSeenAt(node: string, revision: number): number {
		return this.observations.find(entry => entry.node === node && entry.revision >= revision)?.at ?? Infinity;
	}

	/** Returns a message for each observation of a ready node at an older revision than it had before. */
	reversions(): string[] {
		const highest = new Map<string, number>();
		const found: string[] = [];
		for (const {node, revision} of this.observations) {
			if (revision < (highest.get(node) ?? 0)) {
				found.push(`${node} went from revision ${highest.get(node)} back to ${revision}`);
			}

			highest.set(node, Math.max(revision, highest.get(node) ?? 0));
		}

		return found;
	}

	async #poll(): Promise<void> {
		if (this.#polling) {
			return;
		}

		this.#polling = true;
		await Promise.all(this.#launcher.spec.nodes.map(async ({node}) => {
			const status = await this.#launcher.get(node, '/v1/status', pollMs * 2) as {ready: boolean; revision: number} | undefined;
			if (status?.ready) {
				this.observations.push({at: Date.now(), node, revision: status.revision});
			}
		}));
		this.#polling = false;
	}
}
