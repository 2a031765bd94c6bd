import process from 'node:process';

/** Ends the command quietly when the reader of its output has gone, as `head` does. */
export function ignoreClosedOutput(output: NodeJS.WriteStream): void {
	output.on('error', (error: NodeJS.ErrnoException) => {
		if (error.code !== 'EPIPE') {
			throw error;
		}

		process.exit(); // eslint-disable-line unicorn/no-process-exit
	});
}
