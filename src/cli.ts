#!/usr/bin/env node
import process from 'node:process';
import {runCommandLine} from './command-line.ts';
import {exitCodeOf} from './commands/exit-code-of.ts';

// The binary is bundled as CommonJS, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
runCommandLine().catch((error: unknown) => {
	process.stderr.write(`${(error as Error).message}\n`);
	// Exit explicitly: sockets that are already open would keep a process alive that failed to start.
	process.exit(exitCodeOf(error));
});
