type Line = {readonly number: number; readonly text: string};

const testKey = 'test';
/** First lines of entries; those that are no test are passed over by nothing. */
const subjectKeys = new Set([testKey, 'hunt', 'incident', 'day', 'file', 'trial', 'run']);
const fieldKeys = ['command', 'seed', 'seen', 'issue'];
const continuation = '  ';
const keyPattern = /^(?<key>[a-z]+): (?<value>\S.*)$/v;

/** Reads KNOWN-RED.txt: a heading, then entries between empty lines, each with its subjects (`test:` ...) and every field once. */
export class KnownRedList {
	/** Titles of tests, each with its line. */
	readonly tests = new Map<string, number>();
	/** One sentence each, with file and line. */
	readonly problems: string[] = [];
	readonly #file: string;

	constructor(text: string, file: string) {
		this.#file = file;
		const [heading, ...entries] = blocksOf(text);
		// A list without heading begins with an entry.
		for (const entry of heading && keyPattern.test(heading[0]!.text) ? [heading, ...entries] : entries) {
			this.#readEntry(entry);
		}
	}

	#readEntry(lines: readonly Line[]): void {
		const first = lines[0]!;
		const counts = new Map<string, number>();
		for (const line of lines) {
			const {key = '', value = ''} = keyPattern.exec(line.text)?.groups ?? {};
			if (subjectKeys.has(key)) {
				this.#readSubject({
					key, value: value.trim(), line, afterFields: counts.size > 0,
				});
			} else if (fieldKeys.includes(key)) {
				counts.set(key, (counts.get(key) ?? 0) + 1);
				this.#check(key !== 'issue' || /^\d+$/v.test(value.trim()), line, `"${value}" is no number of an issue`);
			} else {
				this.#check(line.text.startsWith(continuation) && counts.size > 0, line, `"${line.text}" is no line of an entry`);
			}
		}

		this.#check(subjectKeys.has(keyPattern.exec(first.text)?.groups?.key ?? ''), first, 'an entry begins with what failed, as in "test: title"');
		for (const key of fieldKeys) {
			this.#check(counts.get(key) === 1, first, `the entry has ${counts.get(key) ?? 0} lines "${key}:" instead of one`);
		}
	}

	#readSubject({key, value, line, afterFields}: {key: string; value: string; line: Line; afterFields: boolean}): void {
		this.#check(!afterFields, line, `"${key}:" stands after the fields of its entry; an empty line is missing`);
		if (key === testKey) {
			this.#check(!this.tests.has(value), line, `the test is listed twice: ${value}`);
			this.tests.set(value, line.number);
		}
	}

	#check(holds: boolean, {number}: Line, problem: string): void {
		if (!holds) {
			this.problems.push(`${this.#file}:${number}: ${problem}.`);
		}
	}
}

function blocksOf(text: string): Line[][] {
	const blocks: Line[][] = [[]];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			blocks.push([]);
		} else {
			blocks.at(-1)!.push({number: index + 1, text: line});
		}
	}

	return blocks.filter(block => block.length > 0);
}
