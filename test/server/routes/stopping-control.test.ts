import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {platformControlCodec} from '../../../platform/platform-control-codec.ts';
import {platformRequestCodec} from '../../../platform/platform-request-codec.ts';
import {startRoutesProcess} from '../../../src/server/routes/start-routes-process.ts';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {PortBlock} from '../../harness/port-block.ts';

const arrivalMs = 300;
const internalPorts = 6;

/** Starts one control node of three, whose log has no leader while the others are down. */
async function startAlone(t: ExecutionContext) {
	const ports = await PortBlock.reserve();
	const [operators, directory, internal] = [ports.next(), ports.next(), ports.next()];
	for (let count = 1; count < internalPorts; count++) {
		ports.next();
	}

	const others = [ports.next(), ports.next()];
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-'));
	const file = path.join(folder, 'control.yaml');
	writeFileSync(file, JSON.stringify({
		mode: 'routes',
		role: 'control',
		node: 'control-1',
		zone: 'regina-a',
		region: 'regina',
		zones: {'regina-a': 'regina'},
		internal: {ip: '127.0.0.1', firstPort: internal, lastPort: internal + internalPorts - 1},
		controlSeeds: [operators, ...others].map(port => `127.0.0.1:${port}`),
		firstStart: true,
		toleratedDisks: 1,
		graceMs: 4000,
		dataFolder: path.join(folder, 'data'),
		listen: {operators: `127.0.0.1:${operators}`, directory: `127.0.0.1:${directory}`},
		logLevel: 'silent',
	}));
	const {process} = await startRoutesProcess({file, adapter: {requests: platformRequestCodec, control: platformControlCodec}});
	t.teardown(() => {
		ports.release();
		rmSync(folder, {recursive: true, force: true});
	});
	return {process, operators};
}

// Guards against operators' calls that a stopping control node cut off without an answer.
test('calls of operators in progress are answered before a control node ends', async t => {
	const {process, operators} = await startAlone(t);
	const calls = (['PUT', 'GET'] as const).map(async method => {
		const {statusCode, headers, body} = await request(`http://127.0.0.1:${operators}/configuration`, {method, body: method === 'PUT' ? platformConfiguration(1) : undefined});
		await body.dump();
		return {statusCode, hasDelay: headers['retry-after'] !== undefined};
	});
	await sleep(arrivalMs);
	await process.stop();
	t.deepEqual(await Promise.all(calls), calls.map(() => ({statusCode: 503, hasDelay: true})));
});
