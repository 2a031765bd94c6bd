import process from 'node:process';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {callHttp} from './call-http.js';
import {NodeProcess} from './node-process.js';

const zones = {'regina-a': 'regina', 'saskatoon-a': 'saskatoon', 'winnipeg-a': 'winnipeg'};
const controlZones = ['regina-a', 'saskatoon-a', 'winnipeg-a', 'regina-a', 'saskatoon-a'];
/** Nodes whose addresses the settings list as seeds. */
const seedCount = 3;
/** Addresses kept free for nodes that are added. */
const spareAddresses = 2;
const internalPorts = 16;
/** Ports that a deployment uses on each of its addresses; 500 such blocks lie below the ports of outgoing channels. */
const portBlock = 21;
const reportEveryMs = 1200;
const graceSeconds = 8;
/** Time in which a fresh deployment has to accept its first configuration, in milliseconds. */
const startTimeoutMs = 12_000;

/** A small deployment on loopback addresses: five control nodes and some entries, with settings as the deploy file renders them. */
export class Deployment {
	nodes = [];
	/** Engines by their identifiers. */
	engines = [];
	#record;
	#root;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#ports;
	#version = 0;
	#nextNumber = 1;
	#timer;

	/** @param {{record: (text: string) => void, root: string, entryZones: string[]}} options */
	static async create({record, root, entryZones}) {
		const deployment = new Deployment({record, root});
		await deployment.#prepare(entryZones);
		return deployment;
	}

	constructor({record, root}) {
		this.#record = record;
		this.#root = root;
	}

	get controls() {
		return this.nodes.filter(({role}) => role === 'control');
	}

	get entries() {
		return this.nodes.filter(({role}) => role === 'entry');
	}

	get ports() {
		return this.#ports;
	}

	get folder() {
		return this.#folder;
	}

	startAll() {
		for (const node of this.nodes) {
			node.start({firstStart: true});
		}

		this.#timer = setInterval(() => {
			this.reportEngines();
		}, reportEveryMs);
	}

	/** Forgets a node that has been stopped for good. */
	remove(node) {
		this.nodes = this.nodes.filter(other => other !== node);
	}

	/** Adds a control node with an empty disk at an address that no node had before. */
	addControl(zone) {
		const node = this.#createNode({role: 'control', zone, number: this.#nextNumber});
		this.nodes.push(node);
		return node;
	}

	/** Sends a liveness report of each engine, to the first control node that acknowledges it. */
	reportEngines() {
		for (const engine of this.engines) {
			this.#report(engine);
		}
	}

	/** Sends a whole configuration until it is acknowledged; returns its version. */
	async configure(document, timeoutMs = startTimeoutMs) {
		this.#version += 7;
		const version = this.#version;
		await this.operate('PUT', '/configuration', JSON.stringify({version, ...document}), timeoutMs);
		return version;
	}

	/** Sends an operator's call to one control node after the other, as the pages describe, until one acknowledges it. */
	async operate(method, url, body, timeoutMs = 6000) {
		const endsAt = Date.now() + timeoutMs;
		for (let turn = 0; Date.now() < endsAt; turn++) {
			const control = this.controls[turn % this.controls.length];
			const answer = await this.operateAt(control, method, url, body); // eslint-disable-line no-await-in-loop
			if (answer.status >= 200 && answer.status < 300) {
				return answer;
			}

			await sleep(150); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`${method} ${url} was not acknowledged within ${timeoutMs} ms`);
	}

	/** Sends an operator's call to one control node; it waits one second for the answer. */
	async operateAt(control, method, url, body) {
		const answer = await callHttp({
			host: control.ip, port: this.#ports.operators, method, path: url, headers: body === undefined ? {} : {'content-type': 'application/json'}, body, timeoutMs: 1000,
		});
		this.#record(`operator: ${method} ${url} to ${control.name} -> ${answer.status ?? answer.error}`);
		return answer;
	}

	/** The requests that an entry has in hand, by its own metrics. */
	async requestsInFlight(entry) {
		const {body = ''} = await callHttp({
			host: entry.ip, port: this.#ports.metrics, method: 'GET', path: '/metrics', timeoutMs: 500,
		});
		return /^\S*requests_in_flight\S* .*$/mv.exec(body)?.[0] ?? 'unknown';
	}

	async ready(entry) {
		const {status} = await callHttp({
			host: entry.ip, port: this.#ports.readiness, method: 'GET', path: '/readiness', timeoutMs: 500,
		});
		return status === 200;
	}

	async untilReady(timeoutMs = startTimeoutMs) {
		const endsAt = Date.now() + timeoutMs;
		for (const entry of this.entries) {
			while (!await this.ready(entry)) { // eslint-disable-line no-await-in-loop
				if (Date.now() > endsAt) {
					throw new Error(`${entry.name} was not ready in time`);
				}

				await sleep(100); // eslint-disable-line no-await-in-loop
			}
		}
	}

	async close() {
		clearInterval(this.#timer);
		await Promise.all(this.nodes.map(async node => {
			node.signal('SIGCONT');
			await node.stop('SIGKILL');
		}));
		await Promise.all(this.engines.map(async engine => engine.close()));
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #prepare(entryZones) {
		const plans = [
			...controlZones.map(zone => ({role: 'control', zone})),
			...entryZones.map(zone => ({role: 'entry', zone})),
		];
		const ips = Array.from({length: plans.length + spareAddresses}, (_, index) => this.#address(index + 1));
		this.#ports = await freePorts(ips);
		for (const [index, plan] of plans.entries()) {
			this.nodes.push(this.#createNode({...plan, number: index + 1}));
		}
	}

	#address(number) {
		return `127.${1 + (process.pid % 200)}.1.${number}`;
	}

	#createNode({role, zone, number}) {
		this.#nextNumber = number + 1;
		const name = `${role}-${number}`;
		const ip = this.#address(number);
		const {callers, readiness, operators, directory, metrics, internal} = this.#ports;
		const listen = role === 'entry'
			? {callers: `${ip}:${callers}`, readiness: `${ip}:${readiness}`, metricsPort: metrics}
			: {operators: `${ip}:${operators}`, directory: `${ip}:${directory}`, metricsPort: metrics};
		return new NodeProcess({
			name,
			role,
			ip,
			folder: this.#folder,
			root: this.#root,
			record: this.#record,
			settings: {
				mode: 'routes',
				role,
				node: name,
				zone,
				region: zones[zone],
				zones,
				internal: {ip, firstPort: internal, lastPort: internal + internalPorts - 1},
				controlSeeds: Array.from({length: seedCount}, (_, index) => `${this.#address(index + 1)}:${operators}`),
				cores: role === 'entry' ? 0.675 : 1.62,
				reportEveryMs,
				graceMs: graceSeconds * 1000,
				toleratedDisks: 2,
				listen,
				...role === 'entry' ? {repeats: {ratio: 0.2, slack: 52, windowMs: 10_000}} : {dataFolder: 'data'},
			},
		});
	}

	async #report(engine) {
		if (!engine.reports) {
			return;
		}

		engine.sequence += 1;
		const body = JSON.stringify(engine.report());
		for (const control of this.controls) {
			const {status} = await callHttp({ // eslint-disable-line no-await-in-loop
				host: control.ip, port: this.#ports.operators, method: 'PUT', path: `/instances/${engine.identifier}`, headers: {'content-type': 'application/json'}, body, timeoutMs: 1000,
			});
			if (status === 200) {
				return;
			}
		}
	}
}

/** Finds ports that are free on all addresses: a block for internal traffic and one for each server. */
async function freePorts(ips) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const base = 20_000 + (Math.floor(Math.random() * 500) * portBlock);
		const ports = Array.from({length: portBlock}, (_, offset) => base + offset);
		const free = await Promise.all(ips.flatMap(ip => ports.map(async port => isFree(ip, port)))); // eslint-disable-line no-await-in-loop
		if (free.every(Boolean)) {
			return {
				internal: base, callers: base + 16, readiness: base + 17, operators: base + 18, directory: base + 19, metrics: base + 20,
			};
		}
	}

	throw new Error('no free block of ports');
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen({host, port}, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
