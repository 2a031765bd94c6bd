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

type PendingWrite = {
	readonly kind: 'append' | 'rewrite';
	readonly records: readonly unknown[];
	readonly resolve: () => void;
	readonly reject: (error: Error) => void;
};

const damageRemedy = 'Move the data folder away and start again: the member rejoins with an empty one and is brought up to date';
const writeFailureRemedy = 'Free space or replace the disk, then restart the process';

/** An append-only file of records. A write resolves once it is synced; writes complete in order. After a failed write all later ones fail. */
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
		await handle.truncate(decoded.validBytes);
		await handle.sync();
		await syncFolder(path.dirname(file));
		const existingStatus = decoded.tail === 'torn' ? 'torn' : 'intact';
		const status = bytes === undefined ? 'missing' : existingStatus;
		return {journal: new Journal(file, handle, decoded.validBytes), load: {status, records: decoded.records}};
	}

	readonly #file: string;
	#handle: FileHandle;
	#fileLength: number;
	readonly #queue: PendingWrite[] = [];
	#processing: Promise<void> | undefined;
	#failure: FolderError | undefined;

	private constructor(file: string, handle: FileHandle, length: number) {
		this.#file = file;
		this.#handle = handle;
		this.#fileLength = length;
	}

	/** Appends records; appends that wait at the same time share one sync. */
	async append(records: readonly unknown[]): Promise<void> {
		return this.#enqueue('append', records);
	}

	/** Replaces all records atomically. */
	async rewrite(records: readonly unknown[]): Promise<void> {
		return this.#enqueue('rewrite', records);
	}

	/** Waits for the pending writes and closes the file; later writes are rejected. */
	async close(): Promise<void> {
		await this.#processing;
		this.#failure ??= new FolderError({
			result: 'folderFull', file: this.#file, problem: 'the journal is closed', remedy: 'Restart the process',
		});
		await this.#handle.close();
	}

	async #enqueue(kind: PendingWrite['kind'], records: readonly unknown[]): Promise<void> {
		return new Promise((resolve, reject) => {
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

	/** Takes the next batch from the queue: the appends up to the next rewrite, or one rewrite. */
	#takeBatch(): PendingWrite[] {
		const rewrite = this.#queue.findIndex(write => write.kind === 'rewrite');
		const count = rewrite === -1 ? this.#queue.length : Math.max(1, rewrite);
		return this.#queue.splice(0, count);
	}

	async #writeBatch(batch: readonly PendingWrite[]): Promise<void> {
		try {
			if (this.#failure !== undefined) {
				throw this.#failure;
			}

			const bytes = recordCodec.encode(batch.flatMap(write => write.records));
			await (batch[0]!.kind === 'rewrite' ? this.#replaceBytes(bytes) : this.#appendBytes(bytes));
		} catch (error) {
			this.#fail(error as Error, batch);
			return;
		}

		for (const write of batch) {
			write.resolve();
		}
	}

	async #appendBytes(bytes: Buffer): Promise<void> {
		let written = 0;
		while (written < bytes.length) {
			const result = await this.#handle.write(bytes, written, bytes.length - written, this.#fileLength + written); // eslint-disable-line no-await-in-loop
			written += result.bytesWritten;
		}

		await this.#handle.datasync();
		this.#fileLength += bytes.length;
	}

	async #replaceBytes(bytes: Buffer): Promise<void> {
		await replaceFile(this.#file, bytes);
		const old = this.#handle;
		this.#handle = await open(this.#file, 'r+');
		this.#fileLength = bytes.length;
		await old.close();
	}

	/** After a failed write or sync the end of the file is in an unknown state, so this and all later writes are rejected. */
	#fail(error: Error, batch: readonly PendingWrite[]): void {
		this.#failure ??= new FolderError({
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
