import {createHmac, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {constants} from '../settings/constants.ts';

/**
 * Signs and verifies payloads with the peer key, without sending the key. A token is `<time>.<HMAC-SHA-256 of time and payload>`;
 * it is valid while its time is within `constants.peerClockSkewMs` of the verifier's clock.
 */
export class PeerToken {
	readonly #keys: () => readonly string[];

	/** @param keys - returns the current keys, the signing key first; called at each use, so that rotation takes effect. */
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

		return this.#keys().some(key => constantTimeEqual(digest(key, payload, time), signature));
	}
}

function digest(key: string, payload: string, time: string): string {
	return createHmac('sha256', key).update(`${time}\n${payload}`).digest('base64url');
}

function constantTimeEqual(left: string, right: string): boolean {
	const a = Buffer.from(left);
	const b = Buffer.from(right);
	return a.length === b.length && timingSafeEqual(a, b);
}
