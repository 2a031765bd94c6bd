import {parseArgs} from 'node:util';
import type {TargetOptions} from './target-options.ts';

const optionNames = [
	'address',
	'port',
	'id',
	'region',
	'zone',
	'firm',
	'deployment',
	'service',
	'announce-to',
	'key',
	'capacity',
	'run-log',
	'crash-on',
	'replay-announcements-ms',
	'load-lag-ms',
	'leave-ms',
] as const;

/** Parses the command line of a stand-in target; `extra` names the options of its kind. Throws if a required option is missing. */
export function parseTargetOptions(args: readonly string[], extra: readonly string[]): {common: TargetOptions; extra: Partial<Record<string, string>>} {
	const names = [...optionNames, ...extra];
	const {values: parsed} = parseArgs({
		args: [...args],
		options: Object.fromEntries(names.map(name => [name, {type: 'string' as const}])),
	});
	const values = parsed as Partial<Record<string, string>>;
	const required = (name: string): string => {
		const value = values[name];
		if (value === undefined) {
			throw new Error(`--${name} is missing`);
		}

		return value;
	};

	const zone = required('zone');
	const common: TargetOptions = {
		port: Number(required('port')),
		address: values.address ?? `127.0.0.1:${required('port')}`,
		id: required('id'),
		region: values.region ?? zone.slice(0, zone.lastIndexOf('-')),
		zone,
		firm: required('firm'),
		deployment: required('deployment'),
		service: required('service'),
		announceTo: required('announce-to').split(','),
		key: required('key'),
		capacity: Number(values.capacity ?? 8),
		runLog: values['run-log'],
		crashOn: values['crash-on'],
		replayAnnouncementsMs: Number(values['replay-announcements-ms'] ?? 0),
		loadLagMs: Number(values['load-lag-ms'] ?? 500),
		leaveMs: Number(values['leave-ms'] ?? 3000),
	};
	return {common, extra: values};
}
