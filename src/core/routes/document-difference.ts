import type {RoutesDocument} from './routes-document.ts';

/** Settings that hold keys, of which only the number of changes is told. */
const secretSetting = 'keyDigests';

/** A part of the document with a name of its own: a route, a service or an organisation. */
type NamedPart = {readonly name: string};

/** What differs between the routes document in force and a new one, as sentences for the operator. Contains no key. */
export function documentDifference(inForce: RoutesDocument, next: RoutesDocument): readonly string[] {
	return [
		...versionDifference(inForce.version, next.version),
		...partsDifference('route', inForce.routes, next.routes),
		...partsDifference('service', inForce.services, next.services),
		...partsDifference('organisation', inForce.organisations, next.organisations),
		...settingsDifference('limits', inForce.limits, next.limits),
	];
}

function versionDifference(inForce: number, next: number): readonly string[] {
	if (next > inForce) {
		return [`version ${next} replaces version ${inForce}`];
	}

	return [`version ${next} is not above version ${inForce}, which is in force: it would change nothing`];
}

function partsDifference(kind: string, inForce: readonly NamedPart[], next: readonly NamedPart[]): readonly string[] {
	const before = new Map(inForce.map(part => [part.name, part]));
	const after = new Map(next.map(part => [part.name, part]));
	return [
		...[...after.keys()].filter(name => !before.has(name)).map(name => `${kind} ${name} is added`),
		...[...before.keys()].filter(name => !after.has(name)).map(name => `${kind} ${name} is removed`),
		...[...after].flatMap(([name, part]) => before.has(name) ? settingsDifference(`${kind} ${name}`, before.get(name)!, part) : []),
	];
}

function settingsDifference(label: string, inForce: Readonly<Record<string, unknown>>, next: Readonly<Record<string, unknown>>): readonly string[] {
	const settings = [...new Set([...Object.keys(inForce), ...Object.keys(next)])];
	return settings
		.filter(setting => JSON.stringify(inForce[setting]) !== JSON.stringify(next[setting]))
		.map(setting => {
			const [before, after] = [inForce[setting], next[setting]];
			return `${label}: ${setting === secretSetting ? keysDifference(before, after) : `${setting} changes from ${describe(before)} to ${describe(after)}`}`;
		});
}

function keysDifference(inForce: unknown, next: unknown): string {
	const before = new Set(inForce as readonly string[]);
	const after = new Set(next as readonly string[]);
	const added = [...after].filter(digest => !before.has(digest)).length;
	const removed = [...before].filter(digest => !after.has(digest)).length;
	return added + removed === 0 ? 'its keys are in another order' : `${added} keys are added and ${removed} removed`;
}

function describe(value: unknown): string {
	return value === undefined ? 'none' : JSON.stringify(value);
}
