import process from 'node:process';
import {Daemon} from '../server/daemon.ts';
import {log} from '../server/log.ts';

/** Runs one process of the system until SIGTERM or SIGINT; SIGHUP reads the keys again. */
export async function run(settings: string): Promise<void> {
	const daemon = await Daemon.start(settings);
	const logger = log('process');
	let stopping = false;
	const stop = async () => {
		if (stopping) {
			return;
		}

		stopping = true;
		await daemon.stop();
		process.exit(0); // eslint-disable-line unicorn/no-process-exit
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.on('SIGHUP', () => {
		try {
			daemon.reload();
		} catch (error) {
			logger(`the settings were not read again: ${(error as Error).message}`);
		}
	});
}
