import type {Region} from '../../core/ids/region.ts';
import {toId} from '../../core/ids/to-id.ts';

/** Header between entries: who forwards a request, and under which version of the routes document. */
const name = 'lovageferry-relayed';
/** Header between entries: the other region's entry refused the request, which has not run there. */
const refusedName = 'lovageferry-refused';

/** Reads and writes the headers that entries add to requests and answers between regions. */
export const relayHeader = {
	name,
	refusedName,
	write(region: Region, documentVersion: number): string {
		return `${region};${documentVersion}`;
	},
	read(value: string | string[] | undefined): {region: Region; documentVersion: number} | undefined {
		const [region, version] = typeof value === 'string' ? value.split(';') : [];
		const documentVersion = Number(version);
		return region && Number.isSafeInteger(documentVersion) ? {region: toId(region), documentVersion} : undefined;
	},
} as const;
