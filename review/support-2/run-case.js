import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {CaseRecord} from './case-record.js';
import {Deployment} from './deployment.js';

/** A script has 120 s; the rest is for ending its processes. */
const timeLimitMs = 105_000;
const root = fileURLToPath(new URL('../..', import.meta.url));

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * The first argument of the process is the file of the record.
 *
 * @param number - Number of the case.
 * @param options - `entryZones`: one for each entry; `descriptors`: limit of each process, if the case needs it. `play({deployment, record, hasTrouble})` resolves with the breaks of the rule, as texts.
 */
export async function runCase(number, {entryZones, descriptors, play}) {
	const hasTrouble = process.env.TROUBLE !== '0';
	const record = new CaseRecord(process.argv[2]);
	record.add(`case ${number}, ${hasTrouble ? 'with' : 'without'} the disruption`);
	const deployment = new Deployment({
		record, root, entryZones, descriptors,
	});
	let code = 2;
	let timer;
	const end = async () => {
		clearTimeout(timer);
		await deployment.close();
		record.write();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			record.add(`the case couldn't run: ${signal}`);
			end();
		});
	}

	try {
		const timeout = new Promise((resolve, reject) => {
			timer = setTimeout(() => {
				reject(new Error('the case took too long'));
			}, timeLimitMs);
		});
		const breaks = await Promise.race([play({deployment, record, hasTrouble}), timeout]);
		for (const text of breaks) {
			record.add(`BROKEN: ${text}`);
		}

		record.add(breaks.length > 0 ? 'the rule was broken' : 'the rule held');
		code = breaks.length > 0 ? 1 : 0;
	} catch (error) {
		record.add(`the case couldn't run: ${error.stack}`);
	}

	await end();
}
