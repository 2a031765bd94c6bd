import type {Region} from '../ids/region.ts';
import {organisationProblems} from '../organisations/organisation-problems.ts';
import type {RoutesDocument} from './routes-document.ts';

type Options = {
	/** Regions of the deployment; undefined if they are not known. */
	readonly regions?: ReadonlySet<Region>;
};

/** Problems that make a routes document invalid, as messages for the operator; empty if it is valid. */
export function documentProblems({version, routes, services, organisations}: RoutesDocument, options: Options = {}): readonly string[] {
	const problems = [...organisationProblems(organisations, options)];
	const known = new Set(services.map(({name}) => name));
	// eslint-disable-next-line no-restricted-syntax -- for one check
	const hostPrefixes = new Set<string>();
	if (!Number.isSafeInteger(version) || version < 0) {
		problems.push('the version must be a whole number: raise the last one');
	}

	if (known.size !== services.length) {
		problems.push('two services have the same name: rename one');
	}

	for (const {name, host, prefix, split, timeoutMs, homes} of routes) {
		const hostPrefix = `${host.toLowerCase()} ${prefix}`;
		if (hostPrefixes.has(hostPrefix)) {
			problems.push(`route ${name}: another route has the same host and prefix: remove one`);
		}

		hostPrefixes.add(hostPrefix);
		if (!prefix.startsWith('/') || !prefix.endsWith('/')) {
			problems.push(`route ${name}: the prefix must begin and end with a slash`);
		}

		if (!(timeoutMs > 0)) {
			problems.push(`route ${name}: the timeout must be above 0`);
		}

		if (split.some(({weight}) => !(weight >= 0 && Number.isFinite(weight))) || !(split.reduce((sum, {weight}) => sum + weight, 0) > 0)) {
			problems.push(`route ${name}: the weights must be finite numbers, must not be negative and must not add up to 0`);
		}

		for (const region of homes) {
			if (options.regions?.has(region) === false) {
				problems.push(`route ${name}: home region ${region} is not a region of this deployment: use ${[...options.regions].join(', ')}`);
			}
		}

		for (const {service} of split) {
			if (!known.has(service)) {
				problems.push(`route ${name}: service ${service} is not in the document: add it or correct the name`);
			}
		}
	}

	return problems;
}
