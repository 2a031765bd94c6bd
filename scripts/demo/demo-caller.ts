import {request} from 'undici';

type DemoAnswer = {readonly status: number; readonly headers: Record<string, unknown>; readonly text: string};

/** Caller of the demo: discovers the entries to use from a bootstrap entry and sends requests to them. */
export class DemoCaller {
	readonly #bootstrap: string;
	readonly #key: string;

	constructor(options: {bootstrap: string; key: string}) {
		this.#bootstrap = options.bootstrap;
		this.#key = options.key;
	}

	/** Returns the addresses of the entries to use, best first. */
	async entries(zone: string): Promise<string[]> {
		const res = await request(`http://${this.#bootstrap}/v1/entries?zone=${zone}`, {headers: {authorization: `Bearer ${this.#key}`}});
		const body = await res.body.json() as {entries: Array<{address: string}>};
		return body.entries.map(entry => entry.address);
	}

	async complete(entry: string, service: string, prompt: string): Promise<DemoAnswer> {
		return this.#send(`http://${entry}/v1/chat/completions`, {
			'lovageferry-service': service,
			'content-type': 'application/json',
		}, JSON.stringify({stream: true, max_tokens: 24, messages: [{role: 'user', content: prompt}]}));
	}

	async call(entry: string, path: string, options: {route?: string; idempotencyKey?: string; body?: unknown} = {}): Promise<DemoAnswer> {
		const headers: Record<string, string> = {'content-type': 'application/json'};
		if (options.route) {
			headers['lovageferry-route'] = options.route;
		}

		if (options.idempotencyKey) {
			headers['idempotency-key'] = options.idempotencyKey;
		}

		return this.#send(`http://${entry}/s/${path}`, headers, JSON.stringify(options.body ?? {}));
	}

	async #send(url: string, headers: Record<string, string>, body: string): Promise<DemoAnswer> {
		const res = await request(url, {method: 'POST', headers: {authorization: `Bearer ${this.#key}`, ...headers}, body});
		return {status: res.statusCode, headers: res.headers, text: await res.body.text()};
	}
}
