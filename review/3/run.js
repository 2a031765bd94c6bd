import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {callHttp} from '../support/call-http.js';
import {Engine} from '../support/engine.js';

/** Requesters give a stream up after four times the objective or eight times the pause, whichever is longest: 8 s here. */
const objectiveMs = 2000;
const gapMs = 1000;
const giveUpMs = 8000;
/** Time budget of the requests and the route's timeout, in milliseconds. */
const budgetMs = 12_000;
/** Tokens of the stream that keeps the only slot busy: 450 events of 20 ms each. */
const longTokens = 3600;
/** Time from the SIGTERM to the request that has to wait, in milliseconds; entries take requests for 2.5 s more. */
const sentAfterMs = 500;
/** Time from that request to a look at the entry's metrics, in milliseconds. */
const lookAfterMs = 3000;
/** `loss-slack-ms` of the site. */
const lossSlackMs = 200;
/** `stability-window-ms` of the site, and one second more, in milliseconds. */
const calmMs = 6000;

const document = {
	routes: [{
		name: 'r-draft',
		host: 'shop.example',
		'path-prefix': '/drafts/',
		kind: 'streaming',
		'timeout-ms': budgetMs,
		'target-latency-ms': objectiveMs,
		'target-gap-ms': gapMs,
		priority: 1,
		service: 'writers',
		attempts: 1,
		'sticky-sessions': true,
		resumable: false,
	}],
	services: [{
		name: 'writers',
		'health-path': '/health',
		'connection-limit': 360,
		protocol: 'h1',
		tls: false,
		'cold-start-s': 0,
		'cold-per-s': 0,
		engine: {
			slots: 1, 'kv-cache-tokens': 435_485, stride: 8, models: [{name: 'm'}],
		},
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
};

/** Plays the case; returns the ways in which the rule was broken. */
async function play({deployment, record, trouble}) {
	const engine = new Engine({
		identifier: 'i-writer-1', service: 'writers', zone: 'regina-a', ip: '127.0.0.1', record, slots: 1,
	});
	await engine.listen();
	deployment.engines.push(engine);
	deployment.startAll();
	await deployment.configure(document);
	await deployment.untilReady();
	deployment.reportEngines();
	// Nothing is disturbed for `stability-window-ms` before the first request.
	await sleep(calmMs);
	const [entry] = deployment.entries;
	const ask = async (id, tokens) => {
		record(`requester: sends ${id} to ${entry.name}`);
		const answer = await callHttp({
			host: entry.ip,
			port: deployment.ports.callers,
			method: 'POST',
			path: `/drafts/${id}`,
			headers: {
				host: 'shop.example',
				'request-identifier': id,
				'deadline-milliseconds': String(budgetMs),
				model: 'm',
				'token-counts': `1000,${tokens}`,
				'prompt-prefix': `${process.pid.toString(16)}:1000`,
			},
			body: 'a brief',
			timeoutMs: tokens === longTokens ? budgetMs : giveUpMs,
		});
		record(`requester: ${id} -> ${answer.status ?? answer.error}, ${answer.complete ? 'complete' : 'not complete'}, after ${answer.tookMs} ms`);
		return answer;
	};

	const long = ask('q-long', longTokens);
	await sleep(1000);
	let stopped;
	if (trouble) {
		record(`${entry.name} gets SIGTERM`);
		stopped = entry.stop('SIGTERM');
	}

	await sleep(sentAfterMs);
	const waiting = ask('q-waiting', 8);
	await sleep(lookAfterMs);
	record(`${entry.name}, its metrics: ${await deployment.requestsInFlight(entry)}`);
	const answer = await waiting;
	await long;
	await stopped;
	const wasCut = answer.error !== 'no answer in time' && !answer.complete;
	const runs = engine.runs.filter(({id}) => id === 'q-waiting').length;
	return wasCut && answer.tookMs > lossSlackMs
		? [`LOST: q-waiting was read, and its channel ended without an answer after ${answer.tookMs} ms (${answer.error ?? answer.status}); it ran ${runs} times`]
		: [];
}

export const reviewCase = {entryZones: ['regina-a', 'saskatoon-a'], play};
