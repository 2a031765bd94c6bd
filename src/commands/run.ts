import process from 'node:process';
import {Daemon} from '../server/daemon.ts';

/** Runs one process of the system until SIGTERM or SIGINT; SIGHUP reads the keys again. */
export async function run(settings: string): Promise<void> {
	const daemon = await Daemon.start(settings);
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
			process.stderr.write(`The keys were not read again, the old ones stay in use: ${(error as Error).message}\n`);
		}
	});
}
