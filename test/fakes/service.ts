// Stand-in for a plain service, run as a separate process.
import process from 'node:process';
import {Announcer} from './announcer.ts';
import {parseTargetOptions} from './parse-target-options.ts';
import {RunLog} from './run-log.ts';
import {ServiceHandler} from './service-handler.ts';
import {TargetServer} from './target-server.ts';

const {common, extra} = parseTargetOptions(process.argv.slice(2), ['delay-ms', 'drop-answer-on']);
const log = new RunLog(common.runLog, {
	target: common.id, region: common.region, zone: common.zone, service: common.service,
});
const handler = new ServiceHandler({
	log, delayMs: Number(extra['delay-ms'] ?? 20), target: common, dropAnswerOn: extra['drop-answer-on'],
});
const announcer = new Announcer({
	target: common,
	details: () => ({kind: 'service', models: [], resumes: false}),
	load: () => ({running: handler.running, queued: 0}),
});
new TargetServer({
	target: common,
	announcer,
	log,
	handle(req, res, body) {
		handler.handle(req, res, body);
	},
}).start();
