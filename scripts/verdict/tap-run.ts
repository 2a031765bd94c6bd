import type {TestResult} from './test-result.ts';

const resultPattern = /^(?<not>not )?ok (?<number>\d+) - (?<title>.*?)(?: # (?<directive>(?<!^not .*)SKIP|(?<=^not .*)TODO))?$/v;
const closingPattern = /^1\.\.\d+\n# tests (?<tests>\d+)\n# pass (?<pass>\d+)\n(?:# skip (?<skip>\d+)\n)?# fail (?<fail>\d+)\s*$/mv;

/** The results that AVA's TAP output names, and what is wrong with that output. */
export class TapRun {
	readonly results: readonly TestResult[];
	/** One sentence each; empty if the output is whole and its counts are those of its lines. */
	readonly problems: readonly string[];

	constructor(output: string) {
		const text = output.replaceAll('\r\n', '\n');
		const numbered = text.split('\n').flatMap(line => {
			const groups = resultPattern.exec(line)?.groups;
			return groups ? [{number: groups.number!, result: resultOf(groups)}] : [];
		});
		this.results = numbered.map(({result}) => result);
		const misplaced = numbered.findIndex(({number}, index) => Number(number) !== index + 1);
		const closing = closingPattern.exec(text)?.groups;
		this.problems = [
			...(misplaced === -1 ? [] : [`The output of the tests has result ${numbered[misplaced]!.number} in place of result ${misplaced + 1}.`]),
			...(closing ? this.#compare(closing) : [this.#cutShort()]),
		];
	}

	#count(outcome: TestResult['outcome']): number {
		return this.results.filter(result => result.outcome === outcome).length;
	}

	#cutShort(): string {
		const last = this.results.at(-1);
		return `The output of the tests was cut short: it has no closing count after ${last ? `${this.results.length} results, the last one "${last.title}"` : '0 results'}.`;
	}

	#compare({tests, pass, skip = '0', fail}: Readonly<Record<string, string | undefined>>): string[] {
		const errors = Number(fail) - this.#count('to do') - (Number(tests) - Number(pass) - Number(skip));
		const counted = `${pass} passed, ${fail} failed and ${skip} skipped`;
		const named = `${this.#count('passed')} passed, ${this.#count('failed') + this.#count('to do')} failed and ${this.#count('skipped')} skipped`;
		return [
			...(this.results.length === 0 || Number(tests) === 0 ? ['The run executed no test.'] : []),
			...(counted === named ? [] : [`The output of the tests counts ${counted} tests, but names ${named}.`]),
			...(errors === 0 ? [] : [`${errors} of the failures are errors outside a test: an uncaught exception, an unhandled rejection, a file without tests or an exit.`]),
		];
	}
}

function resultOf({not, title = '', directive}: Readonly<Record<string, string | undefined>>): TestResult {
	if (directive !== undefined) {
		return {title, outcome: directive === 'SKIP' ? 'skipped' : 'to do'};
	}

	return {title, outcome: not === undefined ? 'passed' : 'failed'};
}
