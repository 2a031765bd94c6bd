import process from 'node:process';
import {documentDifference} from '../core/routes/document-difference.ts';
import type {DocumentFinding} from '../core/routes/document-finding.ts';
import {documentFindings} from '../core/routes/document-findings.ts';
import type {RoutesDocument} from '../core/routes/routes-document.ts';
import type {ControlCodec} from '../server/routes/control-codec.ts';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';
import {printJson} from './print-json.ts';
import {readDocumentText} from './read-document-text.ts';

type Codec = Pick<ControlCodec, 'parseDocument' | 'documentPath'>;

type CheckDocumentOptions = {
	readonly codec: Codec;
	/** File, or `ip:port` of a control node, with the document to compare with. */
	readonly against?: string;
	/** @default false */
	readonly json?: boolean;
};

/**
 * Checks a routes document before it is sent, and prints its errors, the entries that can never take effect, limits that
 * contradict each other, and what differs from the document in force. The exit code is that of an invalid file if there
 * is an error, and `findings` if there is anything else to look at.
 */
export async function checkDocument(file: string, {codec, against, json = false}: CheckDocumentOptions): Promise<void> {
	const parsed = codec.parseDocument(await readDocumentText(file, codec.documentPath));
	const findings: readonly DocumentFinding[] = 'problems' in parsed
		? parsed.problems.map(message => ({kind: 'error', message}))
		: documentFindings(parsed.document);
	const difference = against === undefined || 'problems' in parsed ? undefined : await differenceFrom(against, parsed.document, codec);
	if (json) {
		printJson({file, findings, difference});
	} else {
		printText(file, findings, difference);
	}

	const hasErrors = findings.some(({kind}) => kind === 'error');
	process.exitCode = hasErrors ? exitCodes.usage : (findings.length > 0 ? exitCodes.findings : exitCodes.ok);
}

async function differenceFrom(source: string, next: RoutesDocument, codec: Codec): Promise<readonly string[]> {
	const inForce = codec.parseDocument(await readDocumentText(source, codec.documentPath));
	if ('problems' in inForce) {
		throw new CommandError(`${source}: is no routes document (${inForce.problems[0]}): name the document in force`, exitCodes.usage);
	}

	return documentDifference(inForce.document, next);
}

function printText(file: string, findings: readonly DocumentFinding[], difference: readonly string[] | undefined): void {
	const lines = [
		...findings.map(({kind, message}) => `${file}: ${kind}: ${message}`),
		...findings.length === 0 ? [`${file}: valid`] : [],
		...difference === undefined ? [] : ['', 'changes:', ...difference.map(line => `  ${line}`)],
	];
	process.stdout.write(`${lines.join('\n')}\n`);
}
