import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import type {SoftwareVersion} from '../core/ids/software-version.ts';
import {toId} from '../core/ids/to-id.ts';
import type {Announcement} from '../core/targets/announcement.ts';
import {constants} from '../settings/constants.ts';
import {bearerKey} from './bearer-key.ts';
import type {CoreRunner} from './core-runner.ts';
import type {GatewayNode} from './gateway-node.ts';
import type {Metrics} from './metrics.ts';
import {makeProblem} from './make-problem.ts';
import {parseJson} from './parse-json.ts';
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
	address: z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v),
	zone: label,
	kind: z.enum(['engine', 'service']),
	state: z.enum(['serving', 'leaving']),
	models: z.array(label).max(64),
	capacity: z.number().int().positive(),
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

/** HTTP handler for announcements of targets. A target may only announce itself for a service at or below the tree node that has its key. */
export class TargetApi {
	readonly #options: {node: GatewayNode; region: string; runner: CoreRunner; metrics: Metrics};

	constructor(options: {node: GatewayNode; region: string; runner: CoreRunner; metrics: Metrics}) {
		this.#options = options;
	}

	async announce(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await readBody(req, constants.maxControlBodyBytes);
		const parsed = schema.safeParse(parseJson(body.toString('utf8')));
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

	#refuse(res: ServerResponse, result: 'malformed' | 'announcementRefused', detail: string): void {
		const {node, region, metrics} = this.#options;
		metrics.count('refusals', result);
		sendProblem(res, makeProblem({result, ran: 'no', detail}, {region, revision: node.tree.revision}));
	}
}
