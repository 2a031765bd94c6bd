import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {intersectRestrictions} from '../core/common/intersect-restrictions.ts';
import type {Millis} from '../core/ids/millis.ts';
import type {NodeId} from '../core/ids/node-id.ts';
import type {Region} from '../core/ids/region.ts';
import {toId} from '../core/ids/to-id.ts';
import type {Refusal} from '../core/results/refusal.ts';
import type {RequestInfo} from '../core/settings/request-info.ts';
import type {RoutePath} from '../core/settings/route-path.ts';
import type {RouteSettings} from '../core/settings/route-settings.ts';
import type {SettingsTree} from '../core/tree/settings-tree.ts';
import {constants} from '../settings/constants.ts';
import {bearerKey} from './bearer-key.ts';
import {BodyError} from './body-error.ts';
import {CallerRequest} from './caller-request.ts';
import {BodyHold} from './body-hold.ts';
import type {ProcessMemory} from './process-memory.ts';
import {fingerprintOf} from './fingerprint-of.ts';
import {parseChatBody} from './parse-chat-body.ts';
import type {PeerToken} from './peer-token.ts';
import {prefixBlocks} from './prefix-blocks.ts';
import {readBody} from './read-body.ts';
import {RequestError} from './request-error.ts';
import {RequestHold} from './request-hold.ts';
import {sha256} from './sha256.ts';

type CallerKey = RouteSettings['callerKeys'][string];
type Caller = {readonly path: string; readonly key: CallerKey; readonly sha256: string};

/** Retry delay of a request that the process has no memory for, in milliseconds. */
const overloadRetryAfterMs = 1000;
const maxIdempotencyKeyCharacters = 256;
/** Largest number of messages of a prompt that are told apart; long conversations differ in their first ones. */
const maxPromptParts = 32;

const noHomeRegion: Refusal = {
	result: 'ledgerUnavailable',
	ran: 'maybe',
	detail: 'Neither the caller key nor the route has a homeRegion; set one in the tree.',
};
const excludedHomeRegion: Refusal = {
	result: 'residency',
	ran: 'maybe',
	detail: 'The residency of the caller key and the route excludes their homeRegion; set one within it in the tree.',
};

type RequestReaderOptions = {
	readonly self: {readonly nodeId: string; readonly region: string};
	readonly tree: () => SettingsTree;
	readonly token: PeerToken;
	/** Bounds on what the requests of the whole process hold. */
	readonly memory: ProcessMemory;
	readonly now: () => Millis;
};

/** Authenticates and parses a caller's HTTP request into the request info that the core needs. */
export class RequestReader {
	readonly #options: RequestReaderOptions;

	constructor(options: RequestReaderOptions) {
		this.#options = options;
	}

	/** @throws RequestError if the request is refused. */
	async read(req: IncomingMessage, res: ServerResponse, destination: {service?: string; targetPath: string}): Promise<CallerRequest> {
		const arrivedAt = this.#options.now();
		const forwarded = this.#readForwarding(req);
		const caller = this.#authenticate(req);
		const path = this.#routePath(req, caller, destination.service);
		const settings = this.#options.tree().route(path);
		if (!settings) {
			throw new RequestError({result: 'unknownRoute', ran: 'no', detail: `There is no route ${path.firm}/${path.deployment}/${path.service}/${path.route}.`});
		}

		const residency = intersectRestrictions(settings.residency, caller.key.residency);
		const homeRegion = this.#homeRegion(caller, {settings, residency}, forwarded !== undefined);
		const {memory} = this.#options;
		const body = await readBodyOrRefuse(req, settings.maxBodyBytes, new BodyHold(memory, req, res));
		beginOrRefuse(res);
		const kind = destination.service === undefined ? 'completion' : 'call';
		const chat = kind === 'completion' ? parseChatBody(body) : undefined;
		const prompt = chat?.prompt ?? '';
		const info: RequestInfo = {
			requestId: toId(randomUUID()),
			path,
			organisation: toId(caller.key.organisation),
			callerKey: caller.sha256,
			organisationWeight: caller.key.weight ?? 1,
			kind,
			streamed: chat?.streamed ?? false,
			model: settings.model ?? chat?.model,
			residency,
			homeRegion,
			promptTokens: Math.ceil(prompt.length / constants.charactersPerToken),
			prefixBlocks: prefixBlocks(prompt),
			prefixBlockTokens: constants.prefixBlockCharacters / constants.charactersPerToken,
			outputTokens: Math.min(chat?.maxTokens ?? Number.POSITIVE_INFINITY, settings.expectedOutputTokens),
			fingerprint: forwarded?.fingerprint ?? contentFingerprint(req, destination.targetPath, {path, organisation: caller.key.organisation}, body),
			promptParts: (chat?.messages ?? []).slice(0, -1).slice(0, maxPromptParts).map(message => partDigest(path, message)),
			idempotencyKey: readIdempotencyKey(req),
			priority: effectivePriority(req, settings.priority),
			arrivedAt,
			deadlineAt: arrivedAt + this.#deadlineMs(req, settings) as Millis,
			bodyBytes: body.length,
			forwardedBy: forwarded?.by,
		};
		return new CallerRequest({
			info, body, method: req.method ?? 'GET', targetPath: destination.targetPath, headers: req.headers, res, memory,
		});
	}

	/**
	 * Region that keeps the request's claim and answer: the first home region that residency allows. A request that
	 * must not run twice needs one in the tree: without it, a retry through another region could run again.
	 */
	#homeRegion(caller: Caller, {settings, residency}: {settings: RouteSettings; residency?: readonly Region[]}, forwarded: boolean): Region {
		const homeRegions = [caller.key.homeRegion, settings.homeRegion].filter(region => region !== undefined);
		const allowed = homeRegions.find(region => residency?.includes(region) ?? true);
		if (allowed === undefined && !settings.repeatable && !forwarded) {
			throw new RequestError(homeRegions.length === 0 ? noHomeRegion : excludedHomeRegion);
		}

		return allowed ?? toId(this.#options.self.region);
	}

	#authenticate(req: IncomingMessage): Caller {
		const key = bearerKey(req);
		const digest = sha256(key);
		const caller = key === '' ? undefined : this.#options.tree().callerKey(digest);
		if (!caller) {
			throw new RequestError({result: 'unauthenticated', ran: 'no'});
		}

		return {...caller, sha256: digest};
	}

	#routePath(req: IncomingMessage, caller: Caller, service?: string): RoutePath {
		const [firm = '', keyDeployment] = caller.path.split('/');
		const serviceName = service ?? header(req, 'lovageferry-service');
		if (!serviceName) {
			throw new RequestError({result: 'malformed', ran: 'no', detail: 'The header Lovageferry-Service names no service.'});
		}

		const deployment = keyDeployment ?? header(req, 'lovageferry-deployment') ?? this.#findDeployment(firm, serviceName);
		return {
			firm,
			deployment,
			service: serviceName,
			route: header(req, 'lovageferry-route') ?? 'default',
		};
	}

	/** Finds the firm's only deployment of a service. */
	#findDeployment(firm: string, service: string): string {
		const found = this.#options.tree().paths().filter(path => {
			const parts = path.split('/');
			return parts.length === 3 && parts[0] === firm && parts[2] === service;
		});
		if (found.length !== 1) {
			const detail = found.length === 0 ? `No deployment has the service ${service}.` : 'Several deployments have the service: name one in Lovageferry-Deployment.';
			throw new RequestError({result: 'unknownRoute', ran: 'no', detail});
		}

		return found[0]!.split('/')[1]!;
	}

	#deadlineMs(req: IncomingMessage, settings: RouteSettings): number {
		const requestedMs = Number(header(req, 'lovageferry-deadline-ms'));
		return Number.isFinite(requestedMs) && requestedMs > 0 ? Math.min(requestedMs, settings.deadlineMs) : settings.deadlineMs;
	}

	/** Verifies and parses the signed header of a forwarded request: the forwarding entry and the fingerprint of the content as the caller sent it. */
	#readForwarding(req: IncomingMessage): {by: NonNullable<RequestInfo['forwardedBy']>; fingerprint: string} | undefined {
		const signedFields = header(req, 'lovageferry-forwarded-by');
		if (signedFields === undefined) {
			return undefined;
		}

		if (!this.#options.token.verify(signedFields, header(req, 'lovageferry-forward-token') ?? '')) {
			throw new RequestError({result: 'unauthenticated', ran: 'no'});
		}

		const [nodeId = '', region = '', revision = '0', claimed, fingerprint = ''] = signedFields.split(';');
		const by = {
			nodeId: toId<NodeId>(nodeId),
			region: toId<Region>(region),
			revision: Number(revision),
			claimed: claimed === 'claimed',
		};
		return {by, fingerprint};
	}
}

/** Digest of a message of a prompt to one service. */
function partDigest({firm, deployment, service}: RoutePath, message: string): string {
	return fingerprintOf(`${firm}/${deployment}/${service}`, message);
}

/** Digest of method, target path, route, organisation and body; requests with equal fingerprints count as the same request. */
function contentFingerprint(req: IncomingMessage, targetPath: string, scope: {path: RoutePath; organisation: string}, body: Uint8Array): string {
	const {firm, deployment, service, route} = scope.path;
	return fingerprintOf(`${req.method} ${targetPath} ${firm}/${deployment}/${service}/${route} ${scope.organisation}`, body);
}

async function readBodyOrRefuse(req: IncomingMessage, maxBytes: number, hold: BodyHold) {
	try {
		return await readBody(req, maxBytes, hold);
	} catch (error) {
		if (error instanceof BodyError) {
			throw new RequestError({
				result: error.result, ran: 'no', detail: error.message, retryAfterMs: error.result === 'overloaded' ? overloadRetryAfterMs : undefined,
			});
		}

		throw error;
	}
}

function beginOrRefuse(res: ServerResponse): void {
	if (RequestHold.of(res)?.begin({isCounted: true}) === false) {
		throw new RequestError({
			result: 'overloaded', ran: 'no', detail: 'Too many requests are in progress.', retryAfterMs: overloadRetryAfterMs,
		});
	}
}

function header(req: IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	return typeof value === 'string' && value !== '' ? value : undefined;
}

function readIdempotencyKey(req: IncomingMessage): string | undefined {
	const key = header(req, 'idempotency-key');
	if (key !== undefined && key.length > maxIdempotencyKeyCharacters) {
		throw new RequestError({result: 'malformed', ran: 'no', detail: `The Idempotency-Key has more than ${maxIdempotencyKeyCharacters} characters.`});
	}

	return key;
}

/** Returns the priority that the caller requests if it is valid and not more urgent (lower) than the route's, else the route's. */
function effectivePriority(req: IncomingMessage, routePriority: number): number {
	const requestedPriority = Number(header(req, 'lovageferry-priority') ?? Number.NaN);
	return Number.isInteger(requestedPriority) && requestedPriority >= routePriority && requestedPriority <= 9 ? requestedPriority : routePriority;
}
