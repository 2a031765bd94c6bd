import {loadRoutesSettings} from '../../settings/load-routes-settings.ts';
import {version} from '../../version.ts';
import {EventLog} from '../event-log.ts';
import {DataFolder} from '../journal/data-folder.ts';
import {ControlProcess} from './control-process.ts';
import type {PlatformAdapter} from './platform-adapter.ts';
import {EntryProcess} from './entry-process.ts';
import type {RoutesProcess} from './routes-process.ts';

type StartOptions = {
	readonly file: string;
	readonly adapter: PlatformAdapter;
	/** Called when the process must be restarted. */
	readonly onRestartNeeded: () => void;
};

/**
 * Starts one process of a deployment with a routes document, in the role that its settings name.
 *
 * @throws SettingsError, FolderError if the data folder cannot be used, or ListenError.
 */
export async function startRoutesProcess({file, adapter, onRestartNeeded}: StartOptions): Promise<{process: RoutesProcess; log: EventLog}> {
	const settings = loadRoutesSettings(file);
	const log = new EventLog({node: settings.node, level: settings.logLevel});
	const {role, zone, region, nodeId, firstStart} = settings;
	log.write('starting', {
		role, zone, region, nodeId, firstStart, version,
	});
	const process = role === 'entry'
		? new EntryProcess({settings, adapter, log})
		: new ControlProcess({
			settings, adapter, log, folder: await DataFolder.open(settings.dataFolder!), onDiskRecovered: onRestartNeeded,
		});
	await process.open();
	log.write('started', {role});
	return {process, log};
}
