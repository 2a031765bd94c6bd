import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';

const codesByName: Readonly<Record<string, number>> = {
	CACError: exitCodes.usage,
	SettingsError: exitCodes.usage,
	FolderError: exitCodes.dataFolder,
	ListenError: exitCodes.listen,
};

/** Returns the exit code for the error that ended a command. */
export function exitCodeOf(error: unknown): number {
	return error instanceof CommandError
		? error.exitCode
		: codesByName[(error as Error).name] ?? exitCodes.failed;
}
