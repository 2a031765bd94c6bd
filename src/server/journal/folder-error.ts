import type {ResultName} from '../../core/results/result-name.ts';

type FolderErrorOptions = {
	readonly result: ResultName;
	readonly file: string;
	/** Offset in bytes at which the damage starts. */
	readonly offset?: number;
	readonly problem: string;
	/** What an operator can do about it. */
	readonly remedy: string;
	readonly cause?: unknown;
};

/** The data folder cannot be used. */
export class FolderError extends Error {
	readonly result: ResultName;
	readonly file: string;
	readonly offset: number | undefined;
	readonly remedy: string;

	constructor({result, file, offset, problem, remedy, cause}: FolderErrorOptions) {
		const place = offset === undefined ? file : `${file} at byte ${offset}`;
		super(`${place}: ${problem}. ${remedy}`, {cause});
		this.name = 'FolderError';
		this.result = result;
		this.file = file;
		this.offset = offset;
		this.remedy = remedy;
	}
}
