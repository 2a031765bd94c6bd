import {Buffer} from 'node:buffer';
import {
	type FileHandle, open, readFile, rm,
} from 'node:fs/promises';
import path from 'node:path';
import type {LoadedJournal} from '../../core/common/loaded-journal.ts';
import {FolderError} from './folder-error.ts';
import {recordCodec} from './record-codec.ts';
import {replaceFile} from './replace-file.ts';
import {syncFolder} from './sync-folder.ts';

/** Bytes of encoded records at which they are written to the file, before more are encoded. */
const writeBytes = 4_194_304;

type PendingWrite = {
	readonly kind: 'append' | 'rewrite';
	/** Empty once a later rewrite stands for them. */
	records: readonly unknown[];
	readonly resolve: () => void;
	readonly reject: (error: Error) => void;
};

const damageRemedy = 'Move the data folder away and start again: the member rejoins with an empty one and is brought up to date';
const writeFailureRemedy = 'Free space on the disk or replace it';

/** An append-only file of records. A write resolves once it is synced; writes complete in order. After a failed write all later ones fail until a rewrite succeeds. */
export class Journal {
	/**
	 * Opens a journal, reads it, and truncates a record at its end that was only partly written.
	 *
	 * @throws FolderError with `folderDamaged` if a checksum does not match.
	 */
	static async open(file: string): Promise<{journal: Journal; load: LoadedJournal<unknown>}> {
		await rm(`${file}.new`, {force: true});
		const bytes = await readIfExists(file);
		const decoded = recordCodec.decode(bytes ?? Buffer.alloc(0));
		if (decoded.tail === 'damaged') {
			throw new FolderError({
				result: 'folderDamaged', file, offset: decoded.validBytes, problem: 'a checksum does not match', remedy: damageRemedy,
			});
		}

		const handle = await open(file, bytes === undefined ? 'wx+' : 'r+', 0o600);
		try {
			await handle.truncate(decoded.validBytes);
			await handle.sync();
			await syncFolder(path.dirname(file));
		} catch (error) {
			await handle.close();
			throw error;
		}

		const existingStatus = decoded.tail === 'torn' ? 'torn' : 'intact';
		const status = bytes === undefined ? 'missing' : existingStatus;
		return {journal: new Journal(file, handle, decoded.validBytes), load: {status, records: decoded.records}};
	}

	readonly #file: string;
	#handle: FileHandle;
	#fileLength: number;
	readonly #queue: PendingWrite[] = [];
	#processing: Promise<void> | undefined;
	/** Failure of the last write; cleared by a rewrite. */
	#failure: FolderError | undefined;
	#closed = false;

	private constructor(file: string, handle: FileHandle, length: number) {
		this.#file = file;
		this.#handle = handle;
		this.#fileLength = length;
	}

	/** Appends records; appends that wait at the same time share one sync. */
	async append(records: readonly unknown[]): Promise<void> {
		return this.#enqueue('append', records);
	}

	/** Replaces all records atomically. Writes that still wait are left out, as their records are replaced too; they complete with this one. */
	async rewrite(records: readonly unknown[]): Promise<void> {
		return this.#enqueue('rewrite', records);
	}

	/** Waits for the pending writes and closes the file; later writes are rejected. */
	async close(): Promise<void> {
		await this.#processing;
		this.#closed = true;
		await this.#handle.close();
	}

	async #enqueue(kind: PendingWrite['kind'], records: readonly unknown[]): Promise<void> {
		return new Promise((resolve, reject) => {
			if (kind === 'rewrite') {
				for (const write of this.#queue) {
					write.records = [];
				}
			}

			this.#queue.push({
				kind, records, resolve, reject,
			});
			this.#processing ??= this.#processQueue();
		});
	}

	async #processQueue(): Promise<void> {
		// Lets the writes requested in the same turn of the event loop join the batch.
		await Promise.resolve();
		while (this.#queue.length > 0) {
			const batch = this.#takeBatch();
			await this.#writeBatch(batch); // eslint-disable-line no-await-in-loop
		}

		this.#processing = undefined;
	}

	/** Takes the next batch from the queue: some appends, or the last rewrite with the writes that wait for it. */
	#takeBatch(): PendingWrite[] {
		const rewrite = this.#queue.findLastIndex(write => write.kind === 'rewrite');
		return this.#queue.splice(0, rewrite === -1 ? this.#queue.length : rewrite + 1);
	}

	async #writeBatch(batch: readonly PendingWrite[]): Promise<void> {
		try {
			await this.#write(batch);
		} catch (error) {
			this.#fail(error as Error, batch);
			return;
		}

		for (const write of batch) {
			write.resolve();
		}
	}

	async #write(batch: readonly PendingWrite[]): Promise<void> {
		if (this.#closed) {
			throw new FolderError({
				result: 'folderFull', file: this.#file, problem: 'the journal is closed', remedy: 'Restart the process',
			});
		}

		const last = batch.at(-1)!;
		if (last.kind === 'rewrite') {
			await this.#replaceBytes(recordCodec.encode(last.records));
			this.#failure = undefined;
			return;
		}

		if (this.#failure !== undefined) {
			throw this.#failure;
		}

		await this.#appendBatch(batch);
	}

	/** Appends records in pieces, so that a long queue is never encoded as a whole, with one sync. */
	async #appendBatch(batch: readonly PendingWrite[]): Promise<void> {
		let position = this.#fileLength;
		let parts: Buffer[] = [];
		let size = 0;
		const flush = async () => {
			await this.#writeBytes(Buffer.concat(parts), position);
			position += size;
			parts = [];
			size = 0;
		};

		for (const {records} of batch) {
			const bytes = recordCodec.encode(records);
			parts.push(bytes);
			size += bytes.length;
			if (size >= writeBytes) {
				await flush(); // eslint-disable-line no-await-in-loop
			}
		}

		await flush();
		await this.#handle.datasync();
		this.#fileLength = position;
	}

	async #writeBytes(bytes: Buffer, position: number): Promise<void> {
		let written = 0;
		while (written < bytes.length) {
			const result = await this.#handle.write(bytes, written, bytes.length - written, position + written); // eslint-disable-line no-await-in-loop
			written += result.bytesWritten;
		}
	}

	async #replaceBytes(bytes: Buffer): Promise<void> {
		await replaceFile(this.#file, bytes);
		const old = this.#handle;
		this.#handle = await open(this.#file, 'r+');
		this.#fileLength = bytes.length;
		await old.close();
	}

	/** After a failed write or sync the end of the file is in an unknown state, so appends are rejected until a rewrite replaces the file. */
	#fail(error: Error, batch: readonly PendingWrite[]): void {
		this.#failure = error instanceof FolderError
			? error
			: new FolderError({
				result: 'folderFull', file: this.#file, problem: error.message, remedy: writeFailureRemedy, cause: error,
			});
		for (const write of batch) {
			write.reject(this.#failure);
		}
	}
}

async function readIfExists(file: string): Promise<Buffer | undefined> {
	try {
		return await readFile(file);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}

		throw error;
	}
}
