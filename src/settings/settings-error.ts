/** A settings file that cannot be used; lists every problem, each with its file, key and remedy. */
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
