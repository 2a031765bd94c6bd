import type {Outbox} from '../common/outbox.ts';
import type {EntryAddress} from '../ids/entry-address.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {CallerLocation} from '../registry/caller-location.ts';
import type {EntryDirectory} from '../registry/entry-directory.ts';
import {HostHomes} from '../routes/host-homes.ts';
import type {ParseDocument} from '../routes/parse-document.ts';
import type {RoutesState} from '../routes/routes-state.ts';

const noRegions: ReadonlySet<Region> = new Set();

type CallerDirectoryOptions = {
	readonly entries: EntryDirectory;
	readonly state: RoutesState;
	readonly parseDocument: ParseDocument;
	readonly outbox: Pick<Outbox, 'event'>;
};

/** Tells callers which entries to use, without leading them outside the homes of the host that they want to call. */
export class CallerDirectory {
	readonly #options: CallerDirectoryOptions;
	/** Homes of the hosts of a document's version, parsed when the first caller needs them; `hosts` is undefined if it cannot be read. */
	#homes: {readonly version: number; readonly hosts: HostHomes | undefined} | undefined;

	constructor(options: CallerDirectoryOptions) {
		this.#options = options;
	}

	/** Addresses of entries that a caller should connect to, none if no entry may take its requests; an answer that leads it out of its region is logged. */
	addresses(caller: CallerLocation, now: Millis): readonly EntryAddress[] {
		const {entries: directory, outbox, state} = this.#options;
		const homes = () => this.#homesOf(caller.host);
		const entries = directory.entriesFor(caller, homes, now);
		if (entries.every(({region}) => region !== caller.region)) {
			outbox.event('directory-fallback', {
				...caller,
				homes: homes() && [...homes()!],
				regions: [...new Set(entries.map(({region}) => region))],
				entries: entries.length,
				version: state.document?.version,
			});
		}

		return entries.map(({address}) => address);
	}

	/** Regions whose entries may take any request for a host; undefined if all may, none while that is unknown: without a document that this node can read. */
	#homesOf(host: string | undefined): ReadonlySet<Region> | undefined {
		const {state: {document}, parseDocument, outbox} = this.#options;
		if (document === undefined) {
			return noRegions;
		}

		if (this.#homes?.version !== document.version) {
			const parsed = parseDocument(document.text);
			if ('problems' in parsed) {
				outbox.event('document-unreadable', {version: document.version, problems: parsed.problems.slice(0, 3)});
			}

			this.#homes = {version: document.version, hosts: 'problems' in parsed ? undefined : new HostHomes(parsed.document)};
		}

		return this.#homes.hosts === undefined ? noRegions : this.#homes.hosts.of(host ?? '');
	}
}
