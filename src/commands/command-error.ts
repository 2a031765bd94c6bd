/** A command that failed, with the exit code to end with. */
export class CommandError extends Error {
	readonly exitCode: number;

	constructor(message: string, exitCode: number) {
		super(message);
		this.name = 'CommandError';
		this.exitCode = exitCode;
	}
}
