import {execFile, execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs, promisify} from 'node:util';
import {request} from 'undici';
import {exitCodes} from '../src/commands/exit-codes.ts';
import {DemoCaller} from './demo/demo-caller.ts';
import {DemoInstallation} from './demo/demo-installation.ts';
import {demoPlans} from './demo/demo-plans.ts';

const {values} = parseArgs({options: {deployment: {type: 'string', default: 'prairie'}}});
const plan = demoPlans[values.deployment];
if (!plan) {
	throw new Error(`unknown deployment ${values.deployment}: use ${Object.keys(demoPlans).join(' or ')}`);
}

const installation = new DemoInstallation(plan);
const run = promisify(execFile);
let step = 'build';

function beginStep(name: string): void {
	step = name;
	process.stdout.write(`\n== ${name}\n`);
}

function print(text: string): void {
	process.stdout.write(`${text.trimEnd()}\n`);
}

function check(condition: boolean, what: string): void {
	if (!condition) {
		throw new Error(what);
	}
}

async function runOperatorCommand(...args: string[]): Promise<string> {
	const entries = plan!.nodes.flatMap(node => ['--entry', installation.address(node)]);
	const {stdout} = await run('dist/lovageferry', [...args, ...entries, '--key-file', installation.operatorKeyFile]);
	return stdout;
}

/** Retries for 30 s, until the control nodes accept the settings; a refusal is final. */
async function applyFirstSettings(): Promise<void> {
	const end = Date.now() + 30_000;
	for (;;) {
		/* eslint-disable no-await-in-loop */
		try {
			print(await runOperatorCommand('tree', 'apply', path.join(plan!.examples, 'tree.yaml')));
			return;
		} catch (error) {
			if (Date.now() > end || (error as {code?: number}).code === exitCodes.refused) {
				throw error;
			}

			await sleep(300);
		}
		/* eslint-enable no-await-in-loop */
	}
}

async function main(): Promise<void> {
	const {engine, plainService, firm, deployment, boundRegion} = plan!;
	beginStep('build the binary');
	execFileSync('node_modules/.bin/tsx', ['scripts/build.ts'], {stdio: 'inherit'});

	beginStep(`start ${plan!.nodes.length} entry VMs`);
	await installation.startNodes();

	beginStep('apply the settings tree');
	await applyFirstSettings();
	await installation.waitUntilReady();

	beginStep(`start ${engine.zones.length} engines and ${plainService.zones.length} services`);
	await installation.startTargets();
	print(await runOperatorCommand('status'));

	beginStep('get the list of entries from a bootstrap entry');
	const caller = new DemoCaller({bootstrap: installation.address(plan!.nodes[0]!), key: 'demo-clerk-key'});
	const zone = engine.zones[0]!;
	const entries = await caller.entries(zone);
	print(entries.join('\n'));
	check(entries.length > 0, 'the list of entries is empty');
	const entry = entries[0]!;

	beginStep('a streamed draft');
	const draft = await caller.complete(entry, engine.service, engine.prompt);
	print(draft.text.split('\n\n').slice(0, 3).join('\n'));
	print(`... ${draft.text.split('\n\n').filter(Boolean).length} events`);
	check(draft.status === 200 && draft.text.trimEnd().endsWith('data: [DONE]'), `the streamed draft is incomplete: ${draft.status} ${draft.text.slice(-200)}`);

	beginStep('a plain service call');
	const lookup = await caller.call(entry, `${plainService.service}/status/17`);
	print(`${lookup.status} ${lookup.text}`);
	check(lookup.status === 200, 'the call was not answered');

	beginStep('a non-repeatable call, and its retry through another entry');
	const options = {route: plainService.onceRoute, idempotencyKey: 'demo-order-1', body: {sheets: 3}};
	const first = await caller.call(entry, `${plainService.service}/orders`, options);
	const second = await caller.call(entries.at(-1)!, `${plainService.service}/orders`, options);
	print(`first:  ${first.status} ${first.text}`);
	print(`retry:  ${second.status} ${second.text} (replayed: ${String(second.headers['lovageferry-replayed'] === 'true')})`);
	check(first.status === 200 && second.status === 200 && first.text === second.text, 'the retry got a different answer');
	const runs = countRuns('demo-order-1');
	print(`runs at the services: ${runs}`);
	check(runs === 1, `the non-repeatable call ran ${runs} times`);

	beginStep(`a request that residency keeps in ${boundRegion}, where all plain services are stopped`);
	await installation.stopTargets(plainService.service, boundRegion);
	const bound = await caller.call(entry, `${plainService.service}/orders`, {route: plainService.boundRoute});
	print(`${bound.status} ${bound.text}`);
	check(bound.status >= 400 && bound.text.includes('"ran":"no"'), 'the request was not refused with "ran":"no"');

	beginStep('a settings change');
	print(await runOperatorCommand('tree', 'set', `${firm}/${deployment}/${engine.service}`, 'deadlineMs', '15000'));
	print(await runOperatorCommand('tree', 'show', `${firm}/${deployment}/${engine.service}`));

	beginStep('counters');
	for (const node of plan!.nodes) {
		const res = await request(`http://${installation.address(node)}/metrics`); // eslint-disable-line no-await-in-loop
		const text = await res.body.text(); // eslint-disable-line no-await-in-loop
		const lines = text.split('\n').filter(line => /^lovageferry_(?:requests|answers|refusals|retries|claims|away)_total/v.test(line));
		print(`${node}: ${lines.map(line => line.replace('lovageferry_', '')).join(', ')}`);
	}

	beginStep('graceful shutdown');
	const codes = await installation.stopNodes();
	print(JSON.stringify(codes));
	check(Object.values(codes).every(code => code === 0), 'a node exited with a code other than 0');
}

function countRuns(key: string): number {
	const files = plan!.plainService.zones.map((_, index) => path.join(installation.folder, 'runs', `${plan!.plainService.service}-${index + 1}.jsonl`));
	return files.map(file => readFileSync(file, 'utf8')).join('').split('\n')
		.filter(line => line.includes(key) && line.includes('"start"')).length;
}

try {
	await main();
	process.stdout.write('\nthe demo completed\n');
} catch (error) {
	process.stderr.write(`\nfailed at step "${step}": ${(error as Error).message}\n`);
	process.exitCode = 1;
} finally {
	await installation.dispose();
}
