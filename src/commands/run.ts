import process from 'node:process';
import type {PlatformAdapter} from '../server/routes/platform-adapter.ts';
import {readSettingsMode} from '../settings/read-settings-mode.ts';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';

/** Runs one process of the system until SIGTERM or SIGINT; SIGHUP reloads what can change at run time. */
export async function run(settings: string, adapter?: PlatformAdapter): Promise<void> {
	if (readSettingsMode(settings) === 'routes') {
		await runRoutes(settings, adapter);
		return;
	}

	const {Daemon} = await import('../server/daemon.ts');
	const daemon = await Daemon.start(settings);
	stopOnSignal(async () => daemon.stop());
	process.on('SIGHUP', () => {
		try {
			daemon.reload();
		} catch (error) {
			process.stderr.write(`The keys were not reloaded, the old ones stay in use: ${(error as Error).message}\n`);
		}
	});
}

async function runRoutes(file: string, adapter: PlatformAdapter | undefined): Promise<void> {
	if (adapter === undefined) {
		throw new CommandError(`${file}: mode: "routes" requires a platform adapter, which this build does not include: run the platform's build`, exitCodes.usage);
	}

	const {startRoutesProcess} = await import('../server/routes/start-routes-process.ts');
	const {process: running, log} = await startRoutesProcess({file, adapter});
	stopOnSignal(async () => {
		log.write('stopping', {});
		await running.stop();
		log.write('stopped', {});
	});
	process.on('SIGHUP', () => {
		running.reload();
	});
}

function stopOnSignal(stop: () => Promise<void>): void {
	let stopping = false;
	const stopOnce = async () => {
		if (!stopping) {
			stopping = true;
			await stop();
			process.exit(0); // eslint-disable-line unicorn/no-process-exit
		}
	};

	process.on('SIGTERM', stopOnce);
	process.on('SIGINT', stopOnce);
}
