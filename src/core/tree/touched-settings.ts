import type {SettingKey} from './setting-key.ts';

/** What the operations of one change touched, for validation of just these. */
export type TouchedSettings = Map<string, SettingKey[]>;
