/** JSON text with sorted keys, so that values with equal content give equal text. */
export function canonicalJson(value: unknown): string {
	return JSON.stringify(value, (_key, item: unknown) => isPlain(item) ? sorted(item) : item);
}

function isPlain(item: unknown): item is Record<string, unknown> {
	return typeof item === 'object' && item !== null && !Array.isArray(item);
}

function sorted(item: Record<string, unknown>): Record<string, unknown> {
	const names = Object.keys(item).sort();
	return Object.fromEntries(names.map(name => [name, item[name]]));
}
