import type {Region} from '../../core/ids/region.ts';
import {toId} from '../../core/ids/to-id.ts';

/** Header of a forwarded request: region of the forwarding entry and version of its routes document. */
const name = 'lovageferry-relayed';
/** Header of an answer: the entry of the remote region refused the request, which has not run there. */
const refusedName = 'lovageferry-refused';

/** Headers that entries add to requests and answers between regions. */
export const relayHeader = {
	name,
	refusedName,
	/** Formats the value of the header `name`. */
	write(region: Region, documentVersion: number): string {
		return `${region};${documentVersion}`;
	},
	/** Parses the value of the header `name`; undefined if it is missing or malformed. */
	read(value: string | string[] | undefined): {region: Region; documentVersion: number} | undefined {
		const [region, version] = typeof value === 'string' ? value.split(';') : [];
		const documentVersion = Number(version);
		return region && Number.isSafeInteger(documentVersion) ? {region: toId(region), documentVersion} : undefined;
	},
} as const;
