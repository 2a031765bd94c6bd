import {readFileSync} from 'node:fs';
import {isAddress} from '../settings/is-address.ts';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';

/** Time that a control node has for its answer, in milliseconds. */
const answerTimeoutMs = 5000;

/**
 * Text of a routes document: of a file, or, if `source` is `ip:port`, the one in force as a control node answers it.
 *
 * @throws CommandError if the file cannot be read or the control node has no answer.
 */
export async function readDocumentText(source: string, documentPath: string): Promise<string> {
	if (isAddress(source)) {
		return readInForce(source, documentPath);
	}

	try {
		return readFileSync(source, 'utf8');
	} catch (error) {
		throw new CommandError(`${source}: cannot be read (${(error as NodeJS.ErrnoException).code}): name a routes document, or a control node as ip:port`, exitCodes.usage);
	}
}

async function readInForce(address: string, documentPath: string): Promise<string> {
	let reason: string;
	try {
		const res = await fetch(`http://${address}${documentPath}`, {signal: AbortSignal.timeout(answerTimeoutMs)});
		if (res.ok) {
			return await res.text();
		}

		reason = `status ${res.status}`;
	} catch (error) {
		reason = (error as Error).message;
	}

	throw new CommandError(`${address}: the document in force could not be read (${reason}): try another control node`, exitCodes.unavailable);
}
