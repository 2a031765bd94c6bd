import type {Zone} from '../ids/zone.ts';

/** The last order about a zone, with the log index at which it took force. */
export type ZoneEvacuation = {readonly zone: Zone; readonly active: boolean; readonly index: number};
