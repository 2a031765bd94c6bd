import {z} from 'zod';
import {maxOrganisationNameLength} from '../organisations/max-organisation-name-length.ts';

const sha256 = /^[\da-f]{64}$/;
const modelName = /^\w[\w./:@+-]{0,127}$/;
const largestModelBytes = 100_000_000_000_000;
const regionName = z.string().regex(/^[a-z\d][\w.-]{0,62}$/i);
const name = z.string().min(1).max(maxOrganisationNameLength);

/** Rules of keyed settings, which hold one value per subkey. `deepest` is the greatest node depth at which they may be set. */
export const keyedSettingRules: Readonly<Record<string, {
	readonly subkey: RegExp;
	readonly schema: z.ZodType;
	readonly deepest: number;
	readonly remedy: string;
}>> = {
	callerKeys: {
		subkey: sha256,
		schema: z.strictObject({
			organisation: name,
			residency: z.array(regionName).min(1).max(64).optional(),
			homeRegion: regionName.optional(),
			weight: z.number().positive().max(1000).optional(),
		}),
		deepest: 2,
		remedy: 'Set callerKeys/<SHA-256 in lower-case hexadecimal> at a firm or deployment to {organisation, residency?, homeRegion?, weight?}.',
	},
	targetKeys: {
		subkey: sha256,
		schema: z.strictObject({name}),
		deepest: 4,
		remedy: 'Set targetKeys/<SHA-256 in lower-case hexadecimal> to {name}.',
	},
	models: {
		subkey: modelName,
		schema: z.strictObject({
			replicas: z.int().min(0).max(100_000),
			bytes: z.int().min(0).max(largestModelBytes),
		}),
		deepest: 4,
		remedy: 'Set models/<model name> to {replicas, bytes} with whole numbers.',
	},
};
