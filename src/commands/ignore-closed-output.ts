import process from 'node:process';

/** Exits without an error once the reader of the output closes the pipe, as `head` does. */
export function ignoreClosedOutput(output: NodeJS.WriteStream): void {
	output.on('error', (error: NodeJS.ErrnoException) => {
		if (error.code !== 'EPIPE') {
			throw error;
		}

		process.exit(); // eslint-disable-line unicorn/no-process-exit
	});
}
