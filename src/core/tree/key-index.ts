/** Index of the tree nodes that set a key, by the key's digest; lookups take constant time. */
export class KeyIndex {
	/** A single path is stored without an array, since most digests are set at one node only. */
	readonly #paths = new Map<string, string | readonly string[]>();

	add(digest: string, path: string): void {
		const known = this.pathsOf(digest);
		if (known.includes(path)) {
			return;
		}

		this.#paths.set(digest, known.length === 0 ? path : [...known, path]);
	}

	remove(digest: string, path: string): void {
		const rest = this.pathsOf(digest).filter(known => known !== path);
		if (rest.length === 0) {
			this.#paths.delete(digest);
			return;
		}

		this.#paths.set(digest, rest.length === 1 ? rest[0]! : rest);
	}

	pathsOf(digest: string): readonly string[] {
		const known = this.#paths.get(digest);
		if (known === undefined) {
			return [];
		}

		return typeof known === 'string' ? [known] : known;
	}

	/** The path nearest to the root; all nodes that set the same digest lie on one path. */
	topmostPath(digest: string): string | undefined {
		const [first, ...rest] = this.pathsOf(digest);
		let top = first;
		for (const path of rest) {
			if (path.length < top!.length) {
				top = path;
			}
		}

		return top;
	}
}
