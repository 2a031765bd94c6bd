import type {KeyDigest} from '../ids/key-digest.ts';
import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Organisation} from './organisation.ts';

/** The organisations of a routes document, by the digests of their keys and by name; a lookup takes constant time however many there are. */
export class OrganisationTable {
	readonly #byKey = new Map<KeyDigest, Organisation>();
	readonly #byName = new Map<OrganisationId, Organisation>();

	constructor(organisations: readonly Organisation[]) {
		for (const organisation of organisations) {
			this.#byName.set(organisation.name, organisation);
			for (const digest of organisation.keyDigests) {
				this.#byKey.set(digest, organisation);
			}
		}
	}

	/** True if the document names none, so that no request needs a key. */
	get isEmpty(): boolean {
		return this.#byName.size === 0;
	}

	withKey(digest: KeyDigest): Organisation | undefined {
		return this.#byKey.get(digest);
	}

	get(name: OrganisationId): Organisation | undefined {
		return this.#byName.get(name);
	}
}
