/** Thrown by a command that fails; carries the exit code of the process. */
export class CommandError extends Error {
	readonly exitCode: number;

	constructor(message: string, exitCode: number) {
		super(message);
		this.name = 'CommandError';
		this.exitCode = exitCode;
	}
}
