import process from 'node:process';
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';
import {Deployment} from './deployment.js';

/** Time after which a case that still runs is given up, in milliseconds. */
const limitMs = 118_000;
const exitCodes = {held: 0, broken: 1, couldNotRun: 2};

/** Root of the repository, where the processes are started. */
const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/**
 * Runs a case on a fresh deployment and ends the process with its result: 0 if the rule held, 1 if it was broken, 2 if
 * the case could not run.
 *
 * @param {string} file - Record of what was sent, answered and run.
 * @param {{entryZones: string[], play: (context: {deployment: Deployment, record: (text: string) => void, trouble: boolean}) => Promise<string[]>}} options
 * `play` returns the ways in which the rule was broken.
 */
export async function runCase(file, {entryZones, play}) {
	const trouble = process.env.TROUBLE !== '0';
	writeFileSync(file, '');
	const record = text => {
		appendFileSync(file, `${(performance.now() / 1000).toFixed(3)} s  ${text}\n`);
	};

	let deployment;
	let code = exitCodes.couldNotRun;
	const finish = async () => {
		await deployment?.close();
		record(`exit code ${code}`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	setTimeout(() => {
		record('the case took too long');
		finish();
	}, limitMs).unref();
	for (const event of ['uncaughtException', 'unhandledRejection']) {
		process.once(event, error => {
			record(`could not run: ${error.stack}`);
			finish();
		});
	}

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, finish);
	}

	try {
		record(trouble ? 'with the disruption' : 'without the disruption');
		deployment = await Deployment.create({record, root, entryZones});
		const problems = await play({deployment, record, trouble});
		for (const problem of problems) {
			record(`broken: ${problem}`);
		}

		code = problems.length === 0 ? exitCodes.held : exitCodes.broken;
	} catch (error) {
		record(`could not run: ${error.stack}`);
	}

	await finish();
}
