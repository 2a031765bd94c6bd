import type {CallRecord} from './call-record.ts';
import type {Launcher} from './launcher.ts';
import type {SettingsMonitor} from './settings-monitor.ts';

/** State and results of one run of a scenario. */
export type RunState = {
	readonly launcher: Launcher;
	readonly monitor: SettingsMonitor;
	readonly records: CallRecord[];
	/** Messages of failed checks and steps. */
	readonly problems: string[];
	/** Details for the report: the faults that were drawn, and measured counts. */
	readonly notes: string[];
	/** Accepted changes that restricted a service to these regions. */
	readonly narrowings: Array<{readonly revision: number; readonly service: string; readonly regions: readonly string[]}>;
};
