import type {CallerApi} from './caller-api.ts';
import type {HttpRoute} from './http-route.ts';
import type {OperatorApi} from './operator-api.ts';
import type {ProcessApi} from './process-api.ts';
import type {TargetApi} from './target-api.ts';

type HttpApis = {
	readonly callers: CallerApi;
	readonly targets: TargetApi;
	readonly operators: OperatorApi;
	readonly process: ProcessApi;
};

/** All routes of the HTTP interface; the first match handles a request. */
export function httpRoutes({callers, targets, operators, process}: HttpApis): readonly HttpRoute[] {
	const route = (method: string, path: string, handle: HttpRoute['handle']): HttpRoute => ({method, path, handle});
	return [
		route('POST', '/v1/chat/completions', async (req, res) => callers.completion(req, res)),
		route('*', '/s/', async (req, res, url) => callers.service(req, res, url)),
		route('GET', '/v1/entries', (req, res, url) => {
			callers.entries(req, res, url);
		}),
		route('POST', '/v1/announcements', async (req, res) => targets.announce(req, res)),
		route('POST', '/v1/changes', async (req, res) => operators.change(req, res)),
		route('POST', '/v1/members', async (req, res) => operators.members(req, res)),
		route('POST', '/v1/keepers/accept-loss', async (req, res) => operators.acceptLoss(req, res)),
		route('GET', '/v1/tree', (req, res, url) => {
			operators.tree(req, res, url);
		}),
		route('GET', '/v1/history', (req, res, url) => {
			operators.history(req, res, url);
		}),
		route('GET', '/v1/status', (req, res) => {
			operators.status(req, res);
		}),
		route('GET', '/v1/targets', (req, res) => {
			operators.targets(req, res);
		}),
		route('GET', '/metrics', (_req, res) => {
			process.metrics(res);
		}),
		route('GET', '/healthz', (_req, res) => {
			process.health(res);
		}),
		route('GET', '/readyz', (_req, res) => {
			process.ready(res);
		}),
	];
}
