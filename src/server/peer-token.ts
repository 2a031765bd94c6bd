import {createHmac, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {constants} from '../settings/constants.ts';

/**
 * Proves to a peer that a message comes from a holder of the peer key, without sending the key:
 * a keyed digest over the claim and the time, accepted for a short while only.
 */
export class PeerToken {
	readonly #keys: () => readonly string[];

	/** @param keys - the current keys, the one to sign with first; read at each use, so that rotation takes effect. */
	constructor(keys: () => readonly string[]) {
		this.#keys = keys;
	}

	sign(payload: string): string {
		const time = String(Date.now());
		return `${time}.${digest(this.#keys()[0] ?? '', payload, time)}`;
	}

	verify(payload: string, token: string): boolean {
		const [time = '', signature = ''] = token.split('.');
		if (Math.abs(Date.now() - Number(time)) > constants.peerClockSkewMs) {
			return false;
		}

		return this.#keys().some(key => equal(digest(key, payload, time), signature));
	}
}

function digest(key: string, payload: string, time: string): string {
	return createHmac('sha256', key).update(`${time}\n${payload}`).digest('base64url');
}

function equal(left: string, right: string): boolean {
	const a = Buffer.from(left);
	const b = Buffer.from(right);
	return a.length === b.length && timingSafeEqual(a, b);
}
