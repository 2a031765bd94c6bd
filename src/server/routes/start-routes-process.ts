import {loadRoutesSettings} from '../../settings/load-routes-settings.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {version} from '../../version.ts';
import {EventLog} from '../event-log.ts';
import type {PlatformAdapter} from './platform-adapter.ts';
import type {RoutesProcess} from './routes-process.ts';

type StartOptions = {
	readonly file: string;
	readonly adapter: PlatformAdapter;
	/** Ends the wait for a full disk. */
	readonly signal?: AbortSignal;
};

type ProcessOptions = {
	readonly settings: RoutesSettings;
	readonly adapter: PlatformAdapter;
	readonly log: EventLog;
};

/**
 * Starts one process of a deployment with a routes document, in the role that its settings name. A control node waits
 * while the disk of its data folder is full.
 *
 * @throws SettingsError, FolderError if the data folder cannot be used, ListenError, or an `AbortError` if the wait for a full disk is ended.
 */
export async function startRoutesProcess({file, adapter, signal}: StartOptions): Promise<{process: RoutesProcess; log: EventLog}> {
	const settings = loadRoutesSettings(file);
	const log = new EventLog({node: settings.node, level: settings.logLevel});
	const {role, zone, region, nodeId, firstStart} = settings;
	log.write('starting', {
		role, zone, region, nodeId, firstStart, version,
	});
	const process = role === 'entry'
		? await createEntryProcess({settings, adapter, log})
		: await createControlProcess({settings, adapter, log}, signal);
	await process.open();
	log.write('started', {role});
	return {process, log};
}

// Each role loads its own modules only, which shortens the start of a process.
async function createEntryProcess(options: ProcessOptions): Promise<RoutesProcess> {
	const {EntryProcess} = await import('./entry-process.ts');
	return new EntryProcess(options);
}

async function createControlProcess(options: ProcessOptions, signal?: AbortSignal): Promise<RoutesProcess> {
	const [{ControlProcess}, {openWhenWritable}] = await Promise.all([import('./control-process.ts'), import('../journal/open-when-writable.ts')]);
	const {settings, log} = options;
	const folder = await openWhenWritable(settings.dataFolder!, {
		onFailed(reason) {
			log.warn('disk-failed', {reason});
		},
		onRegained() {
			log.write('disk-regained');
		},
		signal,
	});
	return new ControlProcess({...options, folder});
}
