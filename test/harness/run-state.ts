import type {CallRecord} from './call-record.ts';
import type {Launcher} from './launcher.ts';
import type {SettingsMonitor} from './settings-monitor.ts';

/** What one run of a scenario has gathered. */
export type RunState = {
	readonly launcher: Launcher;
	readonly monitor: SettingsMonitor;
	readonly records: CallRecord[];
	/** What went against the scenario's expectations. */
	readonly problems: string[];
	/** What a seeded run did. */
	readonly notes: string[];
	/** Accepted changes that narrowed where a service may run. */
	readonly narrowings: Array<{readonly revision: number; readonly service: string; readonly regions: readonly string[]}>;
};
