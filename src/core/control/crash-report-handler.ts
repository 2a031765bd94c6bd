import type {Outbox} from '../common/outbox.ts';
import type {CrashId} from '../ids/crash-id.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetRegistry} from '../registry/target-registry.ts';
import type {CrashLedger} from '../routes/crash-ledger.ts';
import type {RoutesCommand} from '../routes/routes-command.ts';
import type {CallAnswer} from './call-answer.ts';
import type {ControlMessage} from './control-message.ts';

/** Further reports of an incarnation after which it counts as not crashed; reports may arrive late, so one proves nothing. */
const reportsToWithdraw = 3;
/** Interval at which the leader looks for targets that turned out to be alive, in milliseconds. */
const withdrawalIntervalMs = 500;

type CrashReportHandlerOptions = {
	/** Unique prefix for the ids of this handler's calls. */
	readonly callPrefix: string;
	readonly ledger: CrashLedger;
	readonly registry: TargetRegistry;
	readonly outbox: Outbox;
	/** Submits a command to the replicated log; the outcome is passed to `handleAnswer`. */
	readonly submit: (callId: string, command: RoutesCommand, now: Millis) => void;
	/** Whether this node leads the replicated log. */
	readonly leads: (now: Millis) => boolean;
};

/** An entry that waits for the outcome of a call: of its reports, or of a trial for one of its requests. */
type WaitingEntry = {readonly from: NodeId} & ({readonly crashes: readonly CrashId[]} | {readonly requestId: RequestId});

/** Commits what entries saw of crashes to the replicated log, and withdraws crashes of targets that still report. */
export class CrashReportHandler {
	readonly #options: CrashReportHandlerOptions;
	/** Entries that wait for the outcome of a call. */
	// eslint-disable-next-line no-restricted-syntax -- by calls of this node, each of which ends in time
	readonly #waiting = new Map<string, WaitingEntry>();
	#lastCall = 0;
	#withdrawnAt = Number.NEGATIVE_INFINITY;

	constructor(options: CrashReportHandlerOptions) {
		this.#options = options;
	}

	handleSeen(from: NodeId, {reports, served, servedCrashes}: ControlMessage & {type: 'crashes-seen'}, now: Millis): void {
		const {ledger, registry} = this.#options;
		if (reports.length > 0) {
			const crashes = reports.map(({crash}) => crash);
			const news = reports
				.filter(({crash, traits}) => traits.some(trait => !ledger.knows(trait, crash)))
				.map(report => ({...report, sequence: Math.max(report.sequence, registry.newestSequence(report.targetId, report.born) ?? 0)}));
			if (news.length === 0) {
				this.#acknowledge(from, crashes);
			} else {
				this.#options.outbox.event('crashes-reported', {entry: from, crashes: news.map(({crash, traits}) => ({crash, traits}))});
				this.#submit({type: 'crashes', reports: news}, now, {from, crashes});
			}
		}

		const suspects = new Map(ledger.suspects().map(({trait, crashes}) => [trait, crashes]));
		const cleared = served
			.map((trait, position) => ({trait, crashes: servedCrashes?.[position] ?? suspects.get(trait) ?? []}))
			.filter(({trait}) => suspects.has(trait));
		if (cleared.length > 0) {
			this.#submit({type: 'traits-served', traits: cleared.map(({trait}) => trait), crashes: cleared.map(({crashes}) => crashes)}, now);
		}
	}

	/** Takes the outcome of a call; false if the call is not one of this handler's. */
	handleAnswer(callId: string, answer: CallAnswer): boolean {
		if (!callId.startsWith(this.#options.callPrefix)) {
			return false;
		}

		const waiting = this.#waiting.get(callId);
		this.#waiting.delete(callId);
		const accepted = answer.type === 'accepted';
		if (waiting !== undefined && 'requestId' in waiting) {
			this.#options.outbox.send(waiting.from, {part: 'control', body: {type: 'trial-answer', requestId: waiting.requestId, granted: accepted}});
		} else if (waiting !== undefined && accepted) {
			this.#acknowledge(waiting.from, waiting.crashes);
		}

		return true;
	}

	/** Asks for a trial; the log grants each one once over all entries. */
	handleTrialWanted(from: NodeId, {requestId, trait, number}: ControlMessage & {type: 'trial-wanted'}, now: Millis): void {
		this.#submit({type: 'trial', trait, number}, now, {from, requestId});
	}

	tick(now: Millis): void {
		const {ledger, registry, outbox, leads} = this.#options;
		if (now - this.#withdrawnAt < withdrawalIntervalMs || !leads(now)) {
			return;
		}

		this.#withdrawnAt = now;
		const crashes = ledger.crashes()
			.filter(({targetId, born, sequence}) => (registry.newestSequence(targetId, born) ?? 0) >= sequence + reportsToWithdraw)
			.map(({crash}) => crash);
		if (crashes.length > 0) {
			outbox.event('crashes-withdrawn', {crashes});
			this.#submit({type: 'crashes-withdrawn', crashes}, now);
		}
	}

	#submit(command: RoutesCommand, now: Millis, waiting?: WaitingEntry): void {
		this.#lastCall += 1;
		const callId = `${this.#options.callPrefix}${this.#lastCall}`;
		if (waiting !== undefined) {
			this.#waiting.set(callId, waiting);
		}

		this.#options.submit(callId, command, now);
	}

	#acknowledge(to: NodeId, crashes: readonly CrashId[]): void {
		this.#options.outbox.send(to, {part: 'control', body: {type: 'crashes-recorded', crashes}});
	}
}
