import {keyedSettingRules} from './keyed-setting-rules.ts';
import type {SettingKey} from './setting-key.ts';
import {settingRules} from './setting-rules.ts';

/** Returns why a key cannot be set at a node of this depth; undefined if it can. */
export function validateSettingKey({name, subkey}: SettingKey, depth: number): {problem: string; remedy: string} | undefined {
	const keyed = Object.hasOwn(keyedSettingRules, name) ? keyedSettingRules[name] : undefined;
	if (keyed === undefined) {
		const known = Object.hasOwn(settingRules, name) && subkey === undefined;
		return known ? undefined : {problem: 'the setting is unknown', remedy: `Use one of ${knownNames()}.`};
	}

	if (subkey === undefined) {
		return {problem: 'the setting needs a subkey', remedy: keyed.remedy};
	}

	if (!keyed.subkey.test(subkey)) {
		return {problem: 'the subkey is not valid', remedy: keyed.remedy};
	}

	return depth > keyed.deepest ? {problem: 'the setting cannot be set at this level', remedy: keyed.remedy} : undefined;
}

function knownNames(): string {
	const keyed = Object.keys(keyedSettingRules).map(name => `${name}/<subkey>`);
	return [...Object.keys(settingRules), ...keyed].join(', ');
}
