import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {TargetRun} from './target-run.ts';

/** Runs of requests at a stand-in target. */
export class TargetRuns {
	/** In the order in which they began. */
	readonly records: TargetRun[] = [];
	/** Number of runs that began on a connection on which another one was in progress. */
	besideOthers = 0;
	/** Number of runs in progress on a connection. */
	readonly #openCounts = new WeakMap<Socket, number>();
	readonly #open = new WeakMap<ServerResponse, TargetRun>();

	/** Records a run from now until its answer or its connection ends; `breaksOff` is asked then. */
	begin({headers, socket}: IncomingMessage, res: ServerResponse, breaksOff: () => boolean): void {
		const {sending} = headers;
		const run: TargetRun = {
			key: String(headers['request-identifier']), sending: sending === undefined ? undefined : Number(sending), startedAt: performance.now(), progressAt: [],
		};
		this.records.push(run);
		this.#open.set(res, run);
		const openCount = this.#openCounts.get(socket) ?? 0;
		this.#openCounts.set(socket, openCount + 1);
		this.besideOthers += openCount > 0 ? 1 : 0;
		// An answer that waits for an earlier one of its connection doesn't hear of the connection's end.
		const end = () => {
			socket.off('close', end);
			res.off('close', end);
			this.#openCounts.set(socket, this.#openCounts.get(socket)! - 1);
			run.endedAt = performance.now();
			run.end = breaksOff() ? 'broken off' : (res.writableFinished ? 'whole' : 'cancelled');
		};

		res.on('close', end);
		socket.on('close', end);
	}

	/** Records that a head that its requester can accept was written. */
	noteHead(res: ServerResponse): void {
		const run = this.#open.get(res);
		if (run !== undefined) {
			run.headAt = performance.now();
		}
	}

	/** Records that an event of a stream was written. */
	noteProgress(res: ServerResponse): void {
		this.#open.get(res)?.progressAt.push(performance.now());
	}
}
