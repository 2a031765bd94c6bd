#!/usr/bin/env node
import process from 'node:process';
import {runCommandLine} from './command-line.ts';
import {exitCodeOf} from './commands/exit-code-of.ts';

// The one binary is a CommonJS bundle, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
runCommandLine().catch((error: unknown) => {
	process.stderr.write(`${(error as Error).message}\n`);
	// A process that could not start ends, though some of its sockets may be open.
	process.exit(exitCodeOf(error));
});
