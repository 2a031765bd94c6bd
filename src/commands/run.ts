import process from 'node:process';
import type {PlatformAdapter} from '../server/routes/platform-adapter.ts';
import {readSettingsMode} from '../settings/read-settings-mode.ts';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';
import {ProcessSignals} from './process-signals.ts';

/** Runs one process of the system until SIGTERM or SIGINT; SIGHUP reloads what can change at run time. */
export async function run(settings: string, adapter?: PlatformAdapter): Promise<void> {
	const signals = new ProcessSignals();
	try {
		await (readSettingsMode(settings) === 'routes' ? runRoutes(settings, {adapter, signals}) : runTree(settings, signals));
	} catch (error) {
		if (!signals.stopWanted.aborted || (error as Error).name !== 'AbortError') {
			throw error;
		}

		// The process waited for its disk and has served nothing.
		process.exit(0); // eslint-disable-line unicorn/no-process-exit
	}
}

async function runTree(settings: string, signals: ProcessSignals): Promise<void> {
	const {Daemon} = await import('../server/daemon.ts');
	const daemon = await Daemon.start(settings, signals.stopWanted);
	signals.attach({
		stop: async () => daemon.stop(),
		reload() {
			try {
				daemon.reload();
			} catch (error) {
				process.stderr.write(`The keys were not reloaded, the old ones stay in use: ${(error as Error).message}\n`);
			}
		},
	});
}

async function runRoutes(file: string, {adapter, signals}: {adapter: PlatformAdapter | undefined; signals: ProcessSignals}): Promise<void> {
	if (adapter === undefined) {
		throw new CommandError(`${file}: mode: "routes" requires a platform adapter, which this build does not include: run the platform's build`, exitCodes.usage);
	}

	const {startRoutesProcess} = await import('../server/routes/start-routes-process.ts');
	const {process: running, log} = await startRoutesProcess({file, adapter, signal: signals.stopWanted});
	signals.attach({
		async stop() {
			log.write('stopping', {});
			await running.stop();
			log.write('stopped', {});
		},
		reload() {
			running.reload();
		},
	});
}
