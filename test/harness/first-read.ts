import {readFileSync, statSync, utimesSync} from 'node:fs';

/** Tells whether a file was read since this watch began, by its time of access. */
export class FirstRead {
	/** The watch of a file, or undefined if its file system keeps no times of access. */
	static watch(file: string): FirstRead | undefined {
		const watch = new FirstRead(file);
		watch.#reset();
		readFileSync(file);
		if (!watch.happened) {
			return undefined;
		}

		watch.#reset();
		return watch;
	}

	readonly #file: string;

	private constructor(file: string) {
		this.#file = file;
	}

	get happened(): boolean {
		return statSync(this.#file).atimeMs > 0;
	}

	/** With `relatime`, a time of access is kept only if it was before the last change. */
	#reset(): void {
		utimesSync(this.#file, new Date(0), new Date());
	}
}
