import type {SettingKey} from './setting-key.ts';

/** Settings that the operations of one change touched, by path; only these are validated. */
export type TouchedSettings = Map<string, SettingKey[]>;
