const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/** FNV-1a with the MurmurHash3 finalizer: a fast 32-bit hash for placement and digests, not for security. */
export function hash32(text: string): number {
	let hash = fnvOffset;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime); // eslint-disable-line unicorn/prefer-code-point
	}

	hash ^= hash >>> 16;
	hash = Math.imul(hash, 0x85_EB_CA_6B);
	hash ^= hash >>> 13;
	hash = Math.imul(hash, 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
