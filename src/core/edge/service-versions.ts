import {controlTiming} from '../control/control-timing.ts';
import type {Millis} from '../ids/millis.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';

/** A service that has targets of a software version; undefined if the build that reported them names none. */
type ListedVersion = {readonly service: ServiceName; readonly softwareVersion: SoftwareVersion | undefined};

/** Software versions that the feeds of control have listed for each service, in all regions. */
export class ServiceVersions {
	readonly #listedAt = new Map<ServiceName, Map<SoftwareVersion | undefined, Millis>>();
	/** Time since which feeds have come without a gap in which a version could have come and gone. */
	#completeSince: Millis | undefined;
	#updatedAt = Number.NEGATIVE_INFINITY;

	/** Takes what a feed of a control node that is current lists. */
	update(listed: Iterable<ListedVersion>, now: Millis): void {
		if (now - this.#updatedAt > controlTiming.feedTimeoutMs) {
			this.#completeSince = now;
		}

		this.#updatedAt = now;
		for (const {service, softwareVersion} of listed) {
			const versions = this.#listedAt.get(service) ?? new Map<SoftwareVersion | undefined, Millis>();
			versions.set(softwareVersion, now);
			this.#listedAt.set(service, versions);
		}

		for (const versions of this.#listedAt.values()) {
			for (const [softwareVersion, listedAt] of versions) {
				if (now - listedAt > controlTiming.streamRetentionMs) {
					versions.delete(softwareVersion);
				}
			}
		}
	}

	/** The software version of a service, if it has had no other one for as long as a stream can be taken up. */
	sole(service: ServiceName, now: Millis): SoftwareVersion | undefined {
		const isComplete = this.#completeSince !== undefined
			&& now - this.#updatedAt <= controlTiming.feedTimeoutMs
			&& now - this.#completeSince > controlTiming.streamRetentionMs;
		const recent = [...this.#listedAt.get(service) ?? []].filter(([, listedAt]) => now - listedAt <= controlTiming.streamRetentionMs);
		return isComplete && recent.length === 1 ? recent[0]![0] : undefined;
	}
}
