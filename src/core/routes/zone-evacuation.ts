import type {Zone} from '../ids/zone.ts';

/** Last evacuation command for a zone, with the log index at which it was applied. */
export type ZoneEvacuation = {readonly zone: Zone; readonly active: boolean; readonly index: number};
