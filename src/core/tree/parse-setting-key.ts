import type {SettingKey} from './setting-key.ts';

/** Splits a key such as `callerKeys/<sha-256>` at its first slash. */
export function parseSettingKey(key: string): SettingKey {
	const slash = key.indexOf('/');
	if (slash === -1) {
		return {name: key};
	}

	return {name: key.slice(0, slash), subkey: key.slice(slash + 1)};
}
