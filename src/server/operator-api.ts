import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {toId} from '../core/ids/to-id.ts';
import type {Change} from '../core/tree/change.ts';
import type {ChangeOutcome} from '../core/tree/change-outcome.ts';
import type {ResultName} from '../core/results/result-name.ts';
import {resultCodes} from '../core/results/result-codes.ts';
import {constants} from '../settings/constants.ts';
import {bearerKey} from './bearer-key.ts';
import {CallerPresence} from './caller-presence.ts';
import type {CoreRunner} from './core-runner.ts';
import type {GatewayNode} from './gateway-node.ts';
import {makeProblem} from './make-problem.ts';
import {parseJson} from './parse-json.ts';
import {readBody} from './read-body.ts';
import {sendJson} from './send-json.ts';
import {sendProblem} from './send-problem.ts';
import {sha256} from './sha256.ts';
import {targetListing} from './target-listing.ts';

const historyLimit = 100;
const maxOperations = 50_000;

const changeSchema = z.object({
	changeId: z.string().min(1).max(200),
	number: z.number().int().positive(),
	operations: z.array(z.discriminatedUnion('op', [
		z.strictObject({op: z.literal('create'), path: z.string()}),
		z.strictObject({op: z.literal('delete'), path: z.string(), recursive: z.boolean().optional()}),
		z.strictObject({
			op: z.literal('set'), path: z.string(), key: z.string(), value: z.unknown(),
		}),
		z.strictObject({op: z.literal('unset'), path: z.string(), key: z.string()}),
	])).min(1).max(maxOperations),
});

const membersSchema = z.strictObject({type: z.enum(['add', 'remove']), node: z.string().min(1), after: z.number().int().nonnegative().optional()});
const acceptLossSchema = z.object({epoch: z.number().int().nonnegative().optional()});
const outdatedDetail = 'The members have changed since they were listed: look at members list again.';

const outcomeResults: Partial<Record<ChangeOutcome['type'], ResultName>> = {
	'number-taken': 'numberTaken',
	'id-reused': 'changeIdReused',
	invalid: 'invalidChange',
	'no-quorum': 'noQuorum',
};

type OperatorApiOptions = {
	readonly node: GatewayNode;
	readonly region: string;
	readonly runner: CoreRunner;
	/** Current operator keys; called for each request, so that key rotation takes effect. */
	readonly operators: () => ReadonlyArray<{readonly name: string; readonly sha256: string}>;
};

/** HTTP handlers for operators: changes to the settings tree, members of the settings log, and the state of the node. */
export class OperatorApi {
	readonly #options: OperatorApiOptions;
	readonly #pendingChanges = new Map<string, Array<(outcome: ChangeOutcome) => void>>();

	constructor(options: OperatorApiOptions) {
		this.#options = options;
	}

	/** Answers the requests that wait for the outcome of a change. */
	resolveChange(changeId: string, outcome: ChangeOutcome): void {
		const waiting = this.#pendingChanges.get(changeId) ?? [];
		this.#pendingChanges.delete(changeId);
		for (const resolve of waiting) {
			resolve(outcome);
		}
	}

	async change(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const operator = this.#authenticate(req, res);
		if (operator === undefined) {
			return;
		}

		const body = await readBody(req, constants.maxControlBodyBytes);
		const parsed = changeSchema.safeParse(parseJson(body));
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			this.#refuse(res, 'malformed', `${issue.path.join('.')}: ${issue.message}`);
			return;
		}

		const change: Change = {
			...parsed.data,
			changeId: toId(parsed.data.changeId),
			operator,
			submittedAt: Date.now(),
		};
		const outcome = await this.#submit(change);
		this.#sendOutcome(res, outcome);
	}

	tree(req: IncomingMessage, res: ServerResponse, url: URL): void {
		if (this.#authenticate(req, res) === undefined) {
			return;
		}

		const {tree} = this.#options.node;
		const path = url.searchParams.get('path') ?? '';
		const paths = tree.paths().filter(candidate => path === '' || candidate === path || candidate.startsWith(`${path}/`));
		if (path !== '' && paths.length === 0) {
			this.#refuse(res, 'unknownRoute', `There is no tree node ${path}.`);
			return;
		}

		const resolved = url.searchParams.get('resolved') === 'true';
		sendJson(res, {
			revision: tree.revision,
			nodes: paths.map(candidate => ({path: candidate, settings: resolved ? tree.resolve(candidate) : tree.own(candidate)})),
		});
	}

	history(req: IncomingMessage, res: ServerResponse, url: URL): void {
		if (this.#authenticate(req, res) === undefined) {
			return;
		}

		const limit = Math.min(historyLimit, Number(url.searchParams.get('limit') ?? historyLimit) || historyLimit);
		sendJson(res, {revision: this.#options.node.tree.revision, history: this.#options.node.tree.history(limit)});
	}

	status(req: IncomingMessage, res: ServerResponse): void {
		if (this.#authenticate(req, res) === undefined) {
			return;
		}

		sendJson(res, this.#options.node.status(this.#options.runner.now()));
	}

	targets(req: IncomingMessage, res: ServerResponse): void {
		if (this.#authenticate(req, res) === undefined) {
			return;
		}

		const {node, runner} = this.#options;
		sendJson(res, {targets: node.targets(runner.now()).map(target => targetListing(target))});
	}

	/** Adds or removes a member of the settings log. Only the leader can; other nodes refuse with its address, if known. A change that names no index which it follows is carried out only while its operator waits. */
	async members(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this.#authenticate(req, res) === undefined) {
			return;
		}

		const body = await readBody(req, constants.maxControlBodyBytes);
		const parsed = membersSchema.safeParse(parseJson(body));
		if (!parsed.success) {
			this.#refuse(res, 'malformed', 'The body needs type (add or remove) and node, and may name after, a log index.');
			return;
		}

		const {type, node: nodeId, after} = parsed.data;
		if (after === undefined && !await isAwaited(res)) {
			return;
		}

		const {node, runner, region} = this.#options;
		const answer = node.changeMembers({type, nodeId: toId(nodeId)}, after, runner.now());
		if (answer.type === 'started') {
			sendJson(res, {started: true});
			return;
		}

		const {leader, pending, isOutdated} = answer;
		const detail = isOutdated ? outdatedDetail : pending && `${pending} was added and does not vote yet: start it, or remove it again.`;
		const document = makeProblem({result: 'invalidMembership', ran: 'no', detail}, {region, revision: node.tree.revision});
		sendJson(res, {...document, leader, pending}, document.status);
	}

	/** Accepts, by decision of an operator, the loss of claims that no keeper of the region has any more. A decision that names no epoch is carried out only while its operator waits. */
	async acceptLoss(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this.#authenticate(req, res) === undefined) {
			return;
		}

		const body = await readBody(req, constants.maxControlBodyBytes);
		const parsed = acceptLossSchema.safeParse(body.length === 0 ? {} : parseJson(body));
		if (!parsed.success) {
			this.#refuse(res, 'malformed', 'The body may name epoch, a number.');
			return;
		}

		const {epoch} = parsed.data;
		if (epoch === undefined && !await isAwaited(res)) {
			return;
		}

		const {node, runner} = this.#options;
		const accepted = node.acceptLoss(epoch, runner.now());
		sendJson(res, {accepted}, accepted ? 200 : 409);
	}

	async #submit(change: Change): Promise<ChangeOutcome> {
		return new Promise(resolve => {
			const waiting = this.#pendingChanges.get(change.changeId) ?? [];
			waiting.push(resolve);
			this.#pendingChanges.set(change.changeId, waiting);
			this.#options.runner.step({type: 'change', change});
		});
	}

	#sendOutcome(res: ServerResponse, outcome: ChangeOutcome): void {
		const {node, runner, region} = this.#options;
		const {regions} = node.status(runner.now());
		const inForce = regions.map(view => ({region: view.region, reachable: view.reachable, revision: view.revision}));
		const result = outcomeResults[outcome.type];
		if (!result) {
			sendJson(res, {...outcome, inForce});
			return;
		}

		const retryAfterMs = outcome.type === 'no-quorum' ? outcome.retryAfterMs : undefined;
		const document = makeProblem({result, ran: outcome.type === 'no-quorum' ? 'maybe' : 'no', retryAfterMs}, {region, revision: node.tree.revision});
		sendJson(res, {...document, ...outcome, inForce}, resultCodes[result].status);
	}

	/** Returns the name of the operator that the key belongs to; sends a refusal if there is none. */
	#authenticate(req: IncomingMessage, res: ServerResponse): string | undefined {
		const digest = sha256(bearerKey(req));
		const operator = this.#options.operators().find(candidate => candidate.sha256 === digest);
		if (!operator) {
			this.#refuse(res, 'unauthenticated');
		}

		return operator?.name;
	}

	#refuse(res: ServerResponse, result: ResultName, detail?: string): void {
		const {node, region} = this.#options;
		sendProblem(res, makeProblem({result, ran: 'no', detail}, {region, revision: node.tree.revision}));
	}
}

/** False if the operator has left: newer changes may have been made since. */
async function isAwaited(res: ServerResponse): Promise<boolean> {
	return new CallerPresence(res).confirmSettled({maxPatienceMs: Number.POSITIVE_INFINITY});
}
