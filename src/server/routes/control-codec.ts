import type {CallerLocation} from '../../core/registry/caller-location.ts';
import type {TargetReport} from '../../core/registry/target-report.ts';
import type {ParseDocument} from '../../core/routes/parse-document.ts';
import type {TargetId} from '../../core/ids/target-id.ts';
import type {Zone} from '../../core/ids/zone.ts';

/** A call of an operator or a target, as known from its method and path; the body is read separately. */
type ControlCall =
	| {readonly type: 'put-document'}
	| {readonly type: 'read-document'}
	| {readonly type: 'evacuation'; readonly zone: Zone; readonly active: boolean}
	| {readonly type: 'report'; readonly targetId: TargetId}
	| {readonly type: 'withdraw'; readonly targetId: TargetId};

/** Reads the calls of operators, targets and directory clients and writes the answers, in one platform's formats. */
export interface ControlCodec {
	/** Parses an operator's routes document. */
	readonly parseDocument: ParseDocument;
	/** Path at which control nodes answer with the document in force. */
	readonly documentPath: string;
	/** Path of an entry's readiness check. */
	readonly readinessPath: string;
	/** Reads a call from its method and URL; undefined if they are unknown. */
	readCall(method: string, url: string): ControlCall | undefined;
	/** Reads the body of a target's report; undefined if it is invalid. */
	readReport(targetId: TargetId, body: string): TargetReport | undefined;
	/** Body of the answer to a report; `reportAddress` is the address for the target's next reports. */
	writeReportAnswer(reportAddress: string | undefined): string;
	/** Reads a directory query; undefined for any other path. */
	readDirectoryQuery(url: string): CallerLocation | undefined;
	/** Body of the directory's answer: the entries' addresses, which the caller may use for `ttlMs` milliseconds. */
	writeDirectoryAnswer(addresses: readonly string[], ttlMs: number): string;
}
