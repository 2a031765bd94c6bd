import type {Random} from '../../src/core/common/random.ts';
import type {PlatformEngine} from '../fakes/platform-engine.ts';
import type {RefusalPlan} from '../fakes/refusal-plan.ts';

type Copies = NonNullable<RefusalPlan['copies']>;

const statuses = [503, 503, 429, 421] as const;
/** Shares of the refusals that ask for a pause, that have a body, and that are written once more. */
const pauseShare = 0.2;
const bodyShare = 0.4;
const copiedShare = 0.7;
const pauseSeconds = '0.3';
const body = '{"title":"not executed"}';
/** Copies that wait for the same request are the most frequent: few callers send one again, and fewer on the same connection. */
const moments: ReadonlyArray<Copies['when']> = ['at-once', 'next', 'again', 'again', 'again'];
const counts = [1, 1, 2, 3];
const parts = [1, 1, 2, 4];
/** Longest time from the arrival of a request to a copy, in milliseconds; with all parts less than the work of an engine. */
const maxDelayMs = 15;

/** How stand-in engines refuse requests, and write a share of the refusals once more on the same connection. */
export class RefusalManners {
	/** Share of the requests that are refused. */
	share = 0;
	readonly #random: Random;

	constructor(random: Random) {
		this.#random = random;
	}

	apply(engine: PlatformEngine): void {
		engine.planRefusal = () => this.#random.next() < this.share ? this.#draw(this.#pick(statuses)) : undefined;
		engine.planMisdirected = () => this.#draw(421);
	}

	#draw(status: RefusalPlan['status']): RefusalPlan {
		return {
			status,
			retryAfter: status !== 421 && this.#random.next() < pauseShare ? pauseSeconds : undefined,
			body: this.#random.next() < bodyShare ? body : '',
			copies: this.#random.next() < copiedShare
				? {
					when: this.#pick(moments), count: this.#pick(counts), parts: this.#pick(parts), delayMs: Math.floor(this.#random.next() * (maxDelayMs + 1)),
				}
				: undefined,
		};
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#random.next() * items.length)]!;
	}
}
