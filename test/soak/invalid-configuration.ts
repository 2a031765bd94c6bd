import {soakConfiguration} from './soak-configuration.ts';
import {soakVersions} from './soak-versions.ts';

const route = {
	name: 'invalid', host: 'prairie.example', 'path-prefix': soakVersions.invalidPath, kind: 'safe', 'timeout-ms': 3000, service: 'press', attempts: 1,
};

/** The ways in which a configuration of `invalidConfiguration` is wrong. */
const invalidTexts: ReadonlyArray<(version: number) => string> = [
	version => soakConfiguration(version, [route]).slice(0, -20),
	version => soakConfiguration(version, [{...route, service: 'nowhere'}]),
	version => soakConfiguration(version, [route, {...route, name: 'again'}]),
	version => soakConfiguration(version, [{...route, service: undefined, 'traffic-split': [{service: 'press', weight: 0}]}]),
	version => soakConfiguration(version, [{...route, 'timeout-ms': 0}]),
];

/** A configuration that must be refused, wrong in a way picked by a number of at least 0 and below 1. */
export function invalidConfiguration(version: number, random: number): string {
	return invalidTexts[Math.floor(random * invalidTexts.length)]!(version);
}
