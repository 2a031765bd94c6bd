import {hash32} from '../common/hash32.ts';
import type {TargetId} from '../ids/target-id.ts';

/** Mask for handles of 30 bits, which are five base-64 digits on the wire. */
const handleMask = 0x3F_FF_FF_FF;

/**
 * Short identifier of one incarnation of a target in compact messages.
 * Among the 172 targets of a region, two handles collide with a probability of 14 in a million;
 * the handle then resolves to the target added last, and only full records renew the other one.
 */
export function targetHandle(targetId: TargetId, incarnation: number): number {
	return hash32(`${targetId}#${incarnation}`) & handleMask;
}
