import {Buffer} from 'node:buffer';

/** Chunks from this size on are kept as they are; smaller ones are copied together, since each Buffer takes some hundred bytes beside its content. */
const ownChunkBytes = 4096;
/** Size of the first block that small chunks are copied into, in bytes; later ones are twice as large as the one before. */
const firstBlockBytes = 512;
const maxBlockBytes = 65_536;
/** Memory of a Buffer beside its content, in bytes. */
const bufferOverheadBytes = 256;

/** A body that is being received. Takes memory in proportion to the bytes that have arrived, in however many chunks. */
export class BodyBuffer {
	#parts: Buffer[] = [];
	#block = Buffer.alloc(0);
	#used = 0;
	#size = 0;

	/** Bytes received. */
	get size(): number {
		return this.#size;
	}

	/** Adds a chunk; returns by how much the memory that the body takes has grown, in bytes. */
	push(chunk: Buffer): number {
		this.#size += chunk.length;
		if (chunk.length >= ownChunkBytes) {
			this.#closeBlock();
			this.#parts.push(chunk);
			return chunk.buffer.byteLength + bufferOverheadBytes;
		}

		let cost = 0;
		let rest = chunk;
		while (rest.length > 0) {
			if (this.#used === this.#block.length) {
				const bytes = Math.min(maxBlockBytes, Math.max(firstBlockBytes, 2 * this.#block.length));
				this.#closeBlock();
				this.#block = Buffer.allocUnsafeSlow(bytes);
				cost += bytes + bufferOverheadBytes;
			}

			const copied = rest.copy(this.#block, this.#used);
			this.#used += copied;
			rest = rest.subarray(copied);
		}

		return cost;
	}

	/** Returns the whole body and forgets it. */
	take(): Buffer {
		this.#closeBlock();
		const parts = this.#parts;
		this.clear();
		return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
	}

	clear(): void {
		this.#parts = [];
		this.#block = Buffer.alloc(0);
		this.#used = 0;
	}

	#closeBlock(): void {
		if (this.#used > 0) {
			this.#parts.push(this.#block.subarray(0, this.#used));
		}

		this.#block = this.#block.subarray(this.#used);
		this.#used = 0;
	}
}
