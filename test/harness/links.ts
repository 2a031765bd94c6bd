import {FaultProxy} from './fault-proxy.ts';
import type {PortBlock} from './port-block.ts';

type Link = {readonly from: string; readonly to: string; readonly of: 'callers' | 'peers'; readonly proxy: FaultProxy};

/** The proxied links of an installation, each from one process to another. */
export class Links {
	readonly #ports: PortBlock;
	#links: Link[] = [];
	/** Links of processes that are gone for good. */
	readonly #retired: Link[] = [];

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

	/** Opens a proxy at a loopback address that only this link uses, at the port of its target; a later link needs no port of the block. */
	async addAt(from: string, to: string, {listenHost, host, port, delayMs}: {listenHost: string; host: string; port: number; delayMs: number}): Promise<void> {
		const proxy = new FaultProxy(port, port, {baseDelayMs: delayMs, host, listenHost});
		await proxy.listen();
		this.#links.push({
			from, to, of: 'peers', proxy,
		});
	}

	/** Takes the links of a process that is gone for good out of all later faults. Its address refuses connections from now on, or is silent, as that of a machine without power. */
	retire(name: string, silent: boolean): void {
		const retired = this.#links.filter(({from, to}) => from === name || to === name);
		this.#links = this.#links.filter(link => !retired.includes(link));
		this.#retired.push(...retired);
		for (const {proxy} of retired) {
			if (silent) {
				proxy.cut();
			} else {
				proxy.close();
			}
		}
	}

	/** Proxies of the links from any process of `from` to any of `to`; with `of`, only those for callers' or peers' connections. */
	between(from: ReadonlySet<string>, to: ReadonlySet<string>, of?: 'callers' | 'peers'): readonly FaultProxy[] {
		return this.#links.filter(link => from.has(link.from) && to.has(link.to) && (of === undefined || of === link.of)).map(link => link.proxy);
	}

	all(): readonly FaultProxy[] {
		return this.#links.map(link => link.proxy);
	}

	close(): void {
		for (const {proxy} of [...this.#links, ...this.#retired]) {
			proxy.close();
		}
	}
}
