import type {TargetReport} from '../../core/registry/target-report.ts';
import type {ParseDocument} from '../../core/routes/parse-document.ts';
import type {TargetId} from '../../core/ids/target-id.ts';
import type {Region} from '../../core/ids/region.ts';
import type {Zone} from '../../core/ids/zone.ts';

/** A call of an operator or a target, with its body still to be read. */
type ControlCall =
	| {readonly type: 'put-document'}
	| {readonly type: 'read-document'}
	| {readonly type: 'evacuation'; readonly zone: Zone; readonly active: boolean}
	| {readonly type: 'report'; readonly targetId: TargetId}
	| {readonly type: 'withdraw'; readonly targetId: TargetId};

/** How operators, targets and callers of the directory write their calls and read the answers. */
export interface ControlCodec {
	readonly parseDocument: ParseDocument;
	/** Path on which an entry is asked whether it is ready. */
	readonly readinessPath: string;
	/** What a call asks for; undefined for a path that is not known. */
	readCall(method: string, url: string): ControlCall | undefined;
	/** Reads a target's report; undefined if it cannot be used. */
	readReport(targetId: TargetId, body: string): TargetReport | undefined;
	/** Body of the answer to a report; `reportAddress` is where later ones should go. */
	writeReportAnswer(reportAddress: string | undefined): string;
	/** Reads a caller's question where to connect; undefined for another path. */
	readDirectoryQuery(url: string): {region?: Region; zone?: Zone} | undefined;
	writeDirectoryAnswer(addresses: readonly string[], ttlMs: number): string;
}
