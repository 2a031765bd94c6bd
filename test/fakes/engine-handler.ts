import type {IncomingMessage, ServerResponse} from 'node:http';
import process from 'node:process';
import {constants} from '../../src/settings/constants.ts';
import {prefixBlocks} from '../../src/server/prefix-blocks.ts';
import type {BatchScheduler} from './batch-scheduler.ts';
import type {CompletionRequest} from './completion-request.ts';
import type {Order} from './order.ts';
import type {OrderExecutor} from './order-executor.ts';
import type {PrefixCache} from './prefix-cache.ts';
import {promptDigest} from './prompt-digest.ts';
import {extractPrompt} from './extract-prompt.ts';
import type {RunLog} from './run-log.ts';
import type {TargetOptions} from './target-options.ts';
import {Sequence} from './sequence.ts';

const tokensPerBlock = constants.prefixBlockCharacters / constants.charactersPerToken;
const defaultMaxTokens = 64;
/** Tokens produced before a prompt that contains the crash text kills the process. */
const crashAfterTokens = 2;

type EngineHandlerOptions = {
	readonly scheduler: BatchScheduler;
	readonly cache: PrefixCache;
	readonly orders: OrderExecutor;
	readonly log: RunLog;
	readonly target: TargetOptions;
	readonly prefillMsPerToken: number;
	/** Number of tokens after which a streamed answer ends without its end marker; 0 for never. */
	readonly truncateAfter: number;
};

/** Handles the HTTP requests of a stand-in engine: completions, and orders to load or unload a model. */
export class EngineHandler {
	readonly #options: EngineHandlerOptions;

	constructor(options: EngineHandlerOptions) {
		this.#options = options;
	}

	handle(req: IncomingMessage, res: ServerResponse, body: string): void {
		if (req.url === '/v1/orders') {
			this.#handleOrder(req, res, body);
			return;
		}

		if (req.method !== 'POST' || req.url !== '/v1/chat/completions') {
			res.writeHead(404).end();
			return;
		}

		this.#handleCompletion(req, res, JSON.parse(body) as CompletionRequest);
	}

	#handleOrder(req: IncomingMessage, res: ServerResponse, body: string): void {
		const {orders, log} = this.#options;
		const status = orders.execute(JSON.parse(body) as Order, req.headers.authorization);
		log.write({event: status === 202 ? 'order' : 'order-refused', detail: body});
		res.writeHead(status).end();
	}

	#handleCompletion(req: IncomingMessage, res: ServerResponse, body: CompletionRequest): void {
		const prompt = extractPrompt(body);
		const digest = promptDigest(prompt);
		const run = {
			attempt: String(req.headers['lovageferry-attempt'] ?? ''),
			key: req.headers['idempotency-key']?.toString(),
			digest,
			resumed: body.continue_final_message,
		};
		const {scheduler, log} = this.#options;
		const pieces: string[] = [];
		const sequence = new Sequence({
			digest,
			priority: body.priority ?? 0,
			prefillMs: this.#prefillMs(prompt),
			resumedText: body.continue_final_message ? body.messages.at(-1)!.content : '',
			maxTokens: body.max_tokens ?? defaultMaxTokens,
			onToken: text => {
				this.#crashIfConfigured(prompt, pieces.length, run);
				pieces.push(text);
				this.#writeToken(res, body, text);
				this.#truncateIfConfigured(res, pieces.length);
			},
			onEnd: () => {
				log.write({event: 'whole', ...run});
				this.#writeEnd(res, body, pieces);
			},
		});
		res.on('close', () => {
			if (!res.writableFinished) {
				scheduler.cancel(sequence);
				log.write({event: 'cancel', ...run});
			}
		});
		log.write({event: 'start', ...run});
		scheduler.add(sequence);
	}

	#prefillMs(prompt: string): number {
		const {cache, prefillMsPerToken} = this.#options;
		const cachedTokens = cache.use(prefixBlocks(prompt)) * tokensPerBlock;
		const tokens = Math.ceil(prompt.length / constants.charactersPerToken);
		return Math.max(0, tokens - cachedTokens) * prefillMsPerToken;
	}

	#crashIfConfigured(prompt: string, produced: number, run: {attempt: string; digest: string}): void {
		const {target: {crashOn}, log} = this.#options;
		if (crashOn !== undefined && produced >= crashAfterTokens && prompt.includes(crashOn)) {
			log.write({event: 'crash', ...run});
			process.kill(process.pid, 'SIGKILL');
		}
	}

	#truncateIfConfigured(res: ServerResponse, produced: number): void {
		const {truncateAfter} = this.#options;
		if (truncateAfter > 0 && produced >= truncateAfter && res.headersSent && !res.writableEnded) {
			res.end();
		}
	}

	#writeToken(res: ServerResponse, body: CompletionRequest, text: string): void {
		if (!body.stream || res.writableEnded) {
			return;
		}

		if (!res.headersSent) {
			res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		}

		res.write(this.#chunk(body, {content: text}, null));
	}

	#writeEnd(res: ServerResponse, body: CompletionRequest, pieces: readonly string[]): void {
		if (res.writableEnded) {
			return;
		}

		if (body.stream) {
			res.end(this.#chunk(body, {}, 'stop') + 'data: [DONE]\n\n');
			return;
		}

		res.writeHead(200, {'content-type': 'application/json'});
		res.end(JSON.stringify({
			object: 'chat.completion',
			model: body.model,
			choices: [{index: 0, message: {role: 'assistant', content: pieces.join('')}, finish_reason: 'stop'}],
			usage: {completion_tokens: pieces.length},
		}));
	}

	#chunk(body: CompletionRequest, delta: {content?: string}, finishReason: string | null): string {
		const choices = [{index: 0, delta, finish_reason: finishReason}];
		return `data: ${JSON.stringify({object: 'chat.completion.chunk', model: body.model, choices})}\n\n`;
	}
}
