// Stand-in for a model engine, run as a separate process.
import process from 'node:process';
import {Announcer} from './announcer.ts';
import {BatchScheduler} from './batch-scheduler.ts';
import {EngineHandler} from './engine-handler.ts';
import {OrderExecutor} from './order-executor.ts';
import {parseTargetOptions} from './parse-target-options.ts';
import {PrefixCache} from './prefix-cache.ts';
import {RunLog} from './run-log.ts';
import {TargetServer} from './target-server.ts';

const millisecondsPerSecond = 1000;

const {common, extra} = parseTargetOptions(process.argv.slice(2), [
	'model', 'token-ms', 'prefill-ms-per-token', 'slowdown', 'cache-blocks', 'fencing', 'orders-key', 'load-bytes-per-ms', 'truncate-after',
]);
const tokenMs = Number(extra['token-ms'] ?? 5);
const prefillMsPerToken = Number(extra['prefill-ms-per-token'] ?? 0.05);
const log = new RunLog(common.runLog, {
	target: common.id, region: common.region, zone: common.zone, service: common.service,
});
const scheduler = new BatchScheduler({capacity: common.capacity, tokenMs, slowdown: Number(extra.slowdown ?? 0.5)});
const cache = new PrefixCache(Number(extra['cache-blocks'] ?? 2000));
const orders = new OrderExecutor({
	honoursFencing: extra.fencing === 'honoured',
	key: extra['orders-key'],
	models: (extra.model ?? '').split(',').filter(Boolean),
	loadBytesPerMs: Number(extra['load-bytes-per-ms'] ?? 1_000_000),
});
const announcer = new Announcer({
	target: common,
	details: () => ({
		kind: 'engine',
		models: [...orders.models],
		tokensPerSecond: millisecondsPerSecond / tokenMs,
		prefillTokensPerSecond: prefillMsPerToken > 0 ? millisecondsPerSecond / prefillMsPerToken : undefined,
		resumes: true,
		cache: cache.takeEvents(Date.now()),
		fencing: orders.fencing || undefined,
	}),
	load: () => ({running: scheduler.running, queued: scheduler.queued}),
});
const handler = new EngineHandler({
	scheduler, cache, orders, log, target: common, prefillMsPerToken, truncateAfter: Number(extra['truncate-after'] ?? 0),
});
new TargetServer({
	target: common,
	announcer,
	log,
	handle(req, res, body) {
		handler.handle(req, res, body);
	},
}).start();
