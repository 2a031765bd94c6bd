import process from 'node:process';

/** Prints a value as indented JSON. */
export function printJson(value: unknown): void {
	process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
}
