import {request} from 'undici';
import type {Announcement} from '../../src/core/targets/announcement.ts';
import type {Zone} from '../../src/core/ids/zone.ts';
import type {TargetId} from '../../src/core/ids/target-id.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import type {TargetOptions} from './target-options.ts';

const defaultRenewMs = 1000;
const requestTimeoutMs = 2000;
const loadSampleMs = 100;

type AnnouncementDetails = Omit<Announcement, 'targetId' | 'incarnation' | 'sequence' | 'firm' | 'deployment' | 'service' | 'address' | 'zone' | 'state' | 'capacity' | 'load'>;

type AnnouncerOptions = {
	readonly target: TargetOptions;
	/** Fields of the next announcement that depend on the kind of target; called once for each announcement. */
	readonly details: () => AnnouncementDetails;
	/** Current load. */
	readonly load: () => {running: number; queued: number};
};

/** Announces a stand-in target to its entries, about once a second unless an entry sets another interval, with load figures that are about `loadLagMs` old. */
export class Announcer {
	readonly #options: AnnouncerOptions;
	readonly #incarnation = Date.now();
	readonly #samples: Array<{at: number; running: number; queued: number}> = [];
	#sequence = 0;
	#state: Announcement['state'] = 'serving';
	#renewMs = defaultRenewMs;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: AnnouncerOptions) {
		this.#options = options;
	}

	start(): void {
		setInterval(() => {
			this.#sampleLoad();
		}, loadSampleMs).unref();
		this.#announcePeriodically();
	}

	/** Announces the state "leaving" immediately and in every later announcement. */
	leave(): void {
		this.#state = 'leaving';
		this.#announce();
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	#announcePeriodically(): void {
		this.#announce();
		this.#timer = setTimeout(() => {
			this.#announcePeriodically();
		}, this.#renewMs);
	}

	#announce(): void {
		const announcement = this.#nextAnnouncement();
		void this.#sendToAll(announcement);
		const {replayAnnouncementsMs} = this.#options.target;
		if (replayAnnouncementsMs > 0) {
			setTimeout(() => {
				void this.#sendToAll(announcement);
			}, replayAnnouncementsMs).unref();
		}
	}

	#nextAnnouncement(): Announcement {
		const {target, details} = this.#options;
		this.#sequence += 1;
		return {
			targetId: toId<TargetId>(target.id),
			incarnation: this.#incarnation,
			sequence: this.#sequence,
			firm: target.firm,
			deployment: target.deployment,
			service: target.service,
			address: target.address,
			zone: toId<Zone>(target.zone),
			state: this.#state,
			capacity: target.capacity,
			load: this.#laggingLoad(),
			...details(),
		};
	}

	#sampleLoad(): void {
		const {load, target} = this.#options;
		const now = Date.now();
		this.#samples.push({at: now, ...load()});
		while (this.#samples.length > 1 && this.#samples[1]!.at <= now - target.loadLagMs) {
			this.#samples.shift();
		}
	}

	#laggingLoad(): Announcement['load'] {
		const sample = this.#samples[0] ?? {at: Date.now(), running: 0, queued: 0};
		return {running: sample.running, queued: sample.queued, ageMs: Date.now() - sample.at};
	}

	async #sendToAll(announcement: Announcement): Promise<void> {
		await Promise.all(this.#options.target.announceTo.map(async address => this.#send(address, announcement)));
	}

	async #send(address: string, announcement: Announcement): Promise<void> {
		try {
			const response = await request(`http://${address}/v1/announcements`, {
				method: 'POST',
				headers: {'content-type': 'application/json', authorization: `Bearer ${this.#options.target.key}`},
				body: JSON.stringify(announcement),
				headersTimeout: requestTimeoutMs,
				bodyTimeout: requestTimeoutMs,
			});
			const reply = await response.body.json() as {renewMs?: number};
			this.#renewMs = reply.renewMs ?? this.#renewMs;
		} catch {
			// The next announcement is sent regardless.
		}
	}
}
