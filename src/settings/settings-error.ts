/** Thrown for an invalid settings file; lists every problem, each with file, key and remedy. */
export class SettingsError extends Error {
	readonly problems: readonly string[];

	constructor(problems: readonly string[]) {
		super(problems.join('\n'));
		this.name = 'SettingsError';
		this.problems = problems;
	}

	get result() {
		return 'settingsInvalid' as const;
	}
}
