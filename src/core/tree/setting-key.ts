/** Identifies one value of a tree node; `subkey` is set for an item of a keyed setting. */
export type SettingKey = {
	readonly name: string;
	readonly subkey?: string;
};
