import {platformConfiguration} from '../fixtures/platform-configuration.ts';
import {soakStreams} from './soak-streams.ts';
import {soakVersions} from './soak-versions.ts';

type Configuration = {routes: object[]; services: object[]};

const common = {
	host: 'prairie.example', 'target-latency-ms': 400, kind: 'safe', attempts: 2,
};

/** A version of the soak's configuration: the routes of the callers, those of long streams, one that moves between services, and those added by the latest versions. */
export function soakConfiguration(version: number, extraRoutes: readonly object[] = []): string {
	const base = JSON.parse(platformConfiguration(version)) as Configuration;
	const moved = {
		...common, name: 'moved', 'path-prefix': soakVersions.movedPath, service: soakVersions.movedTo(version), 'timeout-ms': soakVersions.movedTimeoutMs(version),
	};
	const notes = {
		...common, name: 'notes', 'path-prefix': '/notes/', kind: 'streaming', service: 'writers', 'timeout-ms': 3000, 'target-gap-ms': 600, resumable: false,
	};
	const added = soakVersions.addedIn(version).map(number => ({
		...common, name: `added-${number}`, 'path-prefix': soakVersions.addedPath(number), service: 'press', 'timeout-ms': 3000,
	}));
	return JSON.stringify({
		...base,
		routes: [...base.routes, notes, moved, ...added, ...soakStreams.routes, ...extraRoutes],
		services: [...base.services, {name: 'press', 'connection-limit': 200}],
	});
}
