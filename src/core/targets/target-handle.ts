import {hash32} from '../common/hash32.ts';
import type {TargetId} from '../ids/target-id.ts';

/** Largest handle: 30 bits, five base-64 digits on the wire. */
const handleMask = 0x3F_FF_FF_FF;

/**
 * Short name of one incarnation of a target in compact messages.
 * Among 172 targets of a region two handles collide with a probability of 14 in a million;
 * the later of the two is then renewed by full records only.
 */
export function targetHandle(targetId: TargetId, incarnation: number): number {
	return hash32(`${targetId}#${incarnation}`) & handleMask;
}
