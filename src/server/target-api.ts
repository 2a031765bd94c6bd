import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import type {ResultName} from '../core/results/result-name.ts';
import type {SoftwareVersion} from '../core/ids/software-version.ts';
import {toId} from '../core/ids/to-id.ts';
import type {Announcement} from '../core/targets/announcement.ts';
import {constants} from '../settings/constants.ts';
import {isAddress} from '../settings/is-address.ts';
import {bearerKey} from './bearer-key.ts';
import {BodyError} from './body-error.ts';
import type {CoreRunner} from './core-runner.ts';
import type {GatewayNode} from './gateway-node.ts';
import type {Metrics} from './metrics.ts';
import {makeProblem} from './make-problem.ts';
import {parseJson} from './parse-json.ts';
import {BodyHold} from './body-hold.ts';
import type {ProcessMemory} from './process-memory.ts';
import {readBody} from './read-body.ts';
import {sendJson} from './send-json.ts';
import {sendProblem} from './send-problem.ts';
import {sha256} from './sha256.ts';

/** Interval at which targets are asked to renew their announcement. */
const renewMs = 1000;
/** Time for which targets are told that an announcement is valid. */
const leaseMs = 3000;
const maxCacheEvents = 4096;

const nonNegativeInteger = z.number().int().nonnegative();
const label = z.string().min(1).max(200);
const schema = z.object({
	targetId: label,
	incarnation: nonNegativeInteger,
	sequence: nonNegativeInteger,
	firm: label,
	deployment: label,
	service: label,
	address: z.string().refine(isAddress, 'must be an IPv4 address with a port'),
	zone: label,
	kind: z.enum(['engine', 'service']),
	state: z.enum(['serving', 'leaving']),
	models: z.array(label).max(64),
	capacity: z.number().int().positive().max(constants.maxTargetCapacity),
	load: z.object({running: nonNegativeInteger, queued: nonNegativeInteger, ageMs: z.number().nonnegative()}),
	tokensPerSecond: z.number().positive().optional(),
	prefillTokensPerSecond: z.number().positive().optional(),
	resumes: z.boolean(),
	softwareVersion: label.optional(),
	cache: z.object({
		firstEvent: nonNegativeInteger,
		stored: z.array(z.string()).max(maxCacheEvents),
		removed: z.array(z.string()).max(maxCacheEvents),
	}).optional(),
	fencing: nonNegativeInteger.optional(),
});

type TargetApiOptions = {
	readonly node: GatewayNode;
	readonly region: string;
	readonly runner: CoreRunner;
	readonly metrics: Metrics;
	/** Bounds on what the requests of the whole process hold. */
	readonly memory: ProcessMemory;
};

/** HTTP handler for announcements of targets. A target may only announce itself for a service at or below the tree node that has its key. */
export class TargetApi {
	readonly #options: TargetApiOptions;

	constructor(options: TargetApiOptions) {
		this.#options = options;
	}

	async announce(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await this.#readBody(req, res);
		if (body === undefined) {
			return;
		}

		const parsed = schema.safeParse(parseJson(body));
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			this.#refuse(res, 'malformed', `${issue.path.join('.')}: ${issue.message}`);
			return;
		}

		const {targetId, zone, softwareVersion} = parsed.data;
		const announcement: Announcement = {
			...parsed.data, targetId: toId(targetId), zone: toId(zone), softwareVersion: softwareVersion === undefined ? undefined : toId<SoftwareVersion>(softwareVersion),
		};
		if (!this.#isAuthorised(bearerKey(req), announcement)) {
			this.#refuse(res, 'announcementRefused', 'The target key is not known at this service.');
			return;
		}

		this.#options.runner.step({type: 'announcement', announcement});
		sendJson(res, {accepted: true, renewMs, leaseMs});
	}

	#isAuthorised(key: string, announcement: Announcement): boolean {
		const found = key === '' ? undefined : this.#options.node.tree.targetKey(sha256(key));
		const path = `${announcement.firm}/${announcement.deployment}/${announcement.service}`;
		return found !== undefined && (path === found.path || path.startsWith(`${found.path}/`));
	}

	/** Reads the body; an announcement that is too large or too slow is refused here, and the result is then undefined. */
	async #readBody(req: IncomingMessage, res: ServerResponse): Promise<Buffer | undefined> {
		try {
			return await readBody(req, constants.maxAnnouncementBytes, new BodyHold(this.#options.memory, req, res));
		} catch (error) {
			if (!(error instanceof BodyError)) {
				throw error;
			}

			if (error.result !== 'callerGone') {
				// The rest of the body is read and discarded: closing the connection at once would reset it before the target reads the refusal.
				req.resume();
				this.#refuse(res, error.result, error.message);
			}

			return undefined;
		}
	}

	#refuse(res: ServerResponse, result: ResultName, detail: string): void {
		const {node, region, metrics} = this.#options;
		metrics.count('refusals', result);
		sendProblem(res, makeProblem({result, ran: 'no', detail}, {region, revision: node.tree.revision}));
	}
}
