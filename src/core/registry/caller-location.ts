import type {Region} from '../ids/region.ts';
import type {Zone} from '../ids/zone.ts';

/** What a caller says of itself when it asks the directory for entries: the host that it wants to call, and where it is. */
export type CallerLocation = {readonly host?: string; readonly region?: Region; readonly zone?: Zone};
