import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {mkdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import type {LoadedJournal} from '../../core/common/loaded-journal.ts';
import type {JournalName} from '../../core/common/journal-name.ts';
import type {ConsensusRecord} from '../../core/consensus/consensus-record.ts';
import type {StorageId} from '../../core/ids/storage-id.ts';
import {toId} from '../../core/ids/to-id.ts';
import {FolderError} from './folder-error.ts';
import {FolderLock} from './folder-lock.ts';
import {Journal} from './journal.ts';
import {replaceFile} from './replace-file.ts';

const journalNames: readonly JournalName[] = ['consensus', 'ledger'];
const damageRemedy = 'Move the data folder away and start again: the member rejoins with an empty one and is brought up to date';

type OpenedJournal = Awaited<ReturnType<typeof Journal.open>>;

type OpenedFolder = {
	readonly storageId: StorageId;
	readonly lock: FolderLock;
	readonly consensus: OpenedJournal;
	readonly ledger: OpenedJournal;
};

/** The data folder of a process: its identity and the journals that must survive a restart, under a lock. */
export class DataFolder {
	/**
	 * Opens a folder, locks it and reads its journals; an empty or missing folder gets a new identity.
	 *
	 * @throws FolderError if the folder is damaged, used by another process, or cannot be written.
	 */
	static async open(folder: string): Promise<DataFolder> {
		try {
			return await DataFolder.#open(folder);
		} catch (error) {
			if (error instanceof FolderError) {
				throw error;
			}

			throw new FolderError({
				result: 'folderFull',
				file: folder,
				problem: (error as Error).message,
				remedy: 'Check that the folder is on a disk with free space and belongs to the process',
				cause: error,
			});
		}
	}

	static async #open(folder: string): Promise<DataFolder> {
		await mkdir(folder, {recursive: true, mode: 0o700});
		const lock = await FolderLock.acquire(path.join(folder, 'lock'));
		try {
			return await DataFolder.#load(folder, lock);
		} catch (error) {
			await lock.release();
			throw error;
		}
	}

	static async #load(folder: string, lock: FolderLock): Promise<DataFolder> {
		const identityFile = path.join(folder, 'identity');
		const existingId = await readIdentity(identityFile);
		await checkCompleteness(folder, existingId);
		const opened: OpenedJournal[] = [];
		try {
			const consensus = await Journal.open(journalFile(folder, 'consensus'));
			opened.push(consensus);
			const ledger = await Journal.open(journalFile(folder, 'ledger'));
			opened.push(ledger);
			// The identity is written last, so a folder with an identity has both journals.
			const storageId = existingId ?? await createIdentity(identityFile);
			return new DataFolder({
				storageId, lock, consensus, ledger,
			});
		} catch (error) {
			await Promise.all(opened.map(async ({journal}) => journal.close()));
			throw error;
		}
	}

	readonly storageId: StorageId;
	readonly journals: Readonly<Record<JournalName, Journal>>;
	/** Contents of the journals when the folder was opened. */
	readonly loads: {readonly consensus: LoadedJournal<ConsensusRecord>; readonly ledger: LoadedJournal<never>};
	readonly #lock: FolderLock;

	private constructor(opened: OpenedFolder) {
		this.storageId = opened.storageId;
		this.#lock = opened.lock;
		this.journals = {consensus: opened.consensus.journal, ledger: opened.ledger.journal};
		this.loads = {
			consensus: opened.consensus.load as LoadedJournal<ConsensusRecord>,
			ledger: opened.ledger.load as LoadedJournal<never>,
		};
	}

	async close(): Promise<void> {
		await this.journals.consensus.close();
		await this.journals.ledger.close();
		await this.#lock.release();
	}
}

function journalFile(folder: string, name: JournalName): string {
	return path.join(folder, `${name}.journal`);
}

/**
 * Checks that a folder with an identity has both journals and that one without has no records.
 *
 * @throws FolderError with `folderDamaged` otherwise.
 */
async function checkCompleteness(folder: string, existingId: StorageId | undefined): Promise<void> {
	for (const name of journalNames) {
		const file = journalFile(folder, name);
		const size = await fileSize(file); // eslint-disable-line no-await-in-loop
		if (existingId !== undefined && size === undefined) {
			throw new FolderError({
				result: 'folderDamaged', file, problem: 'the journal is missing', remedy: damageRemedy,
			});
		}

		if (existingId === undefined && (size ?? 0) > 0) {
			throw new FolderError({
				result: 'folderDamaged', file: path.join(folder, 'identity'), problem: 'the identity is missing beside a journal with records', remedy: damageRemedy,
			});
		}
	}
}

async function fileSize(file: string): Promise<number | undefined> {
	try {
		const {size} = await stat(file);
		return size;
	} catch {
		return undefined;
	}
}

async function readIdentity(file: string): Promise<StorageId | undefined> {
	if (await fileSize(file) === undefined) {
		return undefined;
	}

	try {
		const {storageId} = JSON.parse(await readFile(file, 'utf8')) as {storageId: string};
		return toId<StorageId>(storageId);
	} catch (error) {
		throw new FolderError({
			result: 'folderDamaged', file, offset: 0, problem: 'the identity cannot be read', remedy: damageRemedy, cause: error,
		});
	}
}

async function createIdentity(file: string): Promise<StorageId> {
	const storageId = toId<StorageId>(randomUUID());
	await replaceFile(file, Buffer.from(JSON.stringify({storageId})));
	return storageId;
}
