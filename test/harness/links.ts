import {FaultProxy} from './fault-proxy.ts';
import type {PortBlock} from './port-block.ts';

type Link = {readonly from: string; readonly to: string; readonly of: 'callers' | 'peers'; readonly proxy: FaultProxy};

/** The proxied links of an installation, each from one process to another. */
export class Links {
	readonly #ports: PortBlock;
	readonly #links: Link[] = [];

	constructor(ports: PortBlock) {
		this.#ports = ports;
	}

	/** Opens a proxy in front of a port; returns the port of the proxy. */
	async add(from: string, to: string, targetPort: number, options: {of?: 'callers' | 'peers'; delayMs?: number; host?: string} = {}): Promise<number> {
		const port = this.#ports.next();
		const proxy = new FaultProxy(port, targetPort, {baseDelayMs: options.delayMs, host: options.host});
		await proxy.listen();
		this.#links.push({
			from, to, of: options.of ?? 'callers', proxy,
		});
		return port;
	}

	/** Proxies of the links from any process of `from` to any of `to`; with `of`, only those for callers' or peers' connections. */
	between(from: ReadonlySet<string>, to: ReadonlySet<string>, of?: 'callers' | 'peers'): readonly FaultProxy[] {
		return this.#links.filter(link => from.has(link.from) && to.has(link.to) && (of === undefined || of === link.of)).map(link => link.proxy);
	}

	all(): readonly FaultProxy[] {
		return this.#links.map(link => link.proxy);
	}

	close(): void {
		for (const {proxy} of this.#links) {
			proxy.close();
		}
	}
}
