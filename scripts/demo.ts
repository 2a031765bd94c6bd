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

function announce(name: string): void {
	step = name;
	process.stdout.write(`\n== ${name}\n`);
}

function show(text: string): void {
	process.stdout.write(`${text.trimEnd()}\n`);
}

function expect(condition: boolean, what: string): void {
	if (!condition) {
		throw new Error(what);
	}
}

async function operate(...args: string[]): Promise<string> {
	const entries = plan!.nodes.flatMap(node => ['--entry', installation.address(node)]);
	const {stdout} = await run('dist/lovageferry', [...args, ...entries, '--key-file', installation.operatorKeyFile]);
	return stdout;
}

async function applyFirstSettings(): Promise<void> {
	const end = Date.now() + 30_000;
	for (;;) {
		/* eslint-disable no-await-in-loop */
		try {
			show(await operate('tree', 'apply', path.join(plan!.examples, 'tree.yaml')));
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
	const {engine, desk, firm, deployment, boundRegion} = plan!;
	announce('build the binary');
	execFileSync('node_modules/.bin/tsx', ['scripts/build.ts'], {stdio: 'inherit'});

	announce(`start ${plan!.nodes.length} entry VMs`);
	await installation.startNodes();

	announce('put the settings tree in force');
	await applyFirstSettings();
	await installation.nodesReady();

	announce(`start ${engine.zones.length} engines and ${desk.zones.length} services`);
	await installation.startTargets();
	show(await operate('status'));

	announce('ask an entry where to go');
	const caller = new DemoCaller({bootstrap: installation.address(plan!.nodes[0]!), key: 'demo-clerk-key'});
	const zone = engine.zones[0]!;
	const entries = await caller.entries(zone);
	show(entries.join('\n'));
	expect(entries.length > 0, 'the list of entries is empty');
	const entry = entries[0]!;

	announce('a streamed draft');
	const draft = await caller.complete(entry, engine.service, engine.prompt);
	show(draft.text.split('\n\n').slice(0, 3).join('\n'));
	show(`... ${draft.text.split('\n\n').filter(Boolean).length} events`);
	expect(draft.status === 200 && draft.text.trimEnd().endsWith('data: [DONE]'), `the draft is not whole: ${draft.status} ${draft.text.slice(-200)}`);

	announce('a plain service call');
	const lookup = await caller.call(entry, `${desk.service}/status/17`);
	show(`${lookup.status} ${lookup.text}`);
	expect(lookup.status === 200, 'the call was not answered');

	announce('a call that may not be repeated, and its resend through another entry');
	const options = {route: desk.onceRoute, idempotencyKey: 'demo-order-1', body: {sheets: 3}};
	const first = await caller.call(entry, `${desk.service}/orders`, options);
	const second = await caller.call(entries.at(-1)!, `${desk.service}/orders`, options);
	show(`first:  ${first.status} ${first.text}`);
	show(`resend: ${second.status} ${second.text} (replayed: ${String(second.headers['lovageferry-replayed'] === 'true')})`);
	expect(first.status === 200 && second.status === 200 && first.text === second.text, 'the resend got another answer');
	const runs = countRuns('demo-order-1');
	show(`runs at the services: ${runs}`);
	expect(runs === 1, `it ran ${runs} times`);

	announce(`a request that residency keeps in ${boundRegion}, whose services leave`);
	await installation.stopTargets(desk.service, boundRegion);
	const bound = await caller.call(entry, `${desk.service}/orders`, {route: desk.boundRoute});
	show(`${bound.status} ${bound.text}`);
	expect(bound.status >= 400 && bound.text.includes('"ran":"no"'), 'it was not refused as not run');

	announce('a settings change');
	show(await operate('tree', 'set', `${firm}/${deployment}/${engine.service}`, 'deadlineMs', '15000'));
	show(await operate('tree', 'show', `${firm}/${deployment}/${engine.service}`));

	announce('counters');
	for (const node of plan!.nodes) {
		const res = await request(`http://${installation.address(node)}/metrics`); // eslint-disable-line no-await-in-loop
		const text = await res.body.text(); // eslint-disable-line no-await-in-loop
		const lines = text.split('\n').filter(line => /^lovageferry_(?:requests|answers|refusals|retries|claims|away)_total/v.test(line));
		show(`${node}: ${lines.map(line => line.replace('lovageferry_', '')).join(', ')}`);
	}

	announce('graceful shutdown');
	const codes = await installation.stopNodes();
	show(JSON.stringify(codes));
	expect(Object.values(codes).every(code => code === 0), 'a node did not end with exit code 0');
}

function countRuns(key: string): number {
	const files = plan!.desk.zones.map((_, index) => path.join(installation.folder, 'runs', `${plan!.desk.service}-${index + 1}.jsonl`));
	return files.map(file => readFileSync(file, 'utf8')).join('').split('\n')
		.filter(line => line.includes(key) && line.includes('"start"')).length;
}

try {
	await main();
	process.stdout.write('\nthe demo ran through\n');
} catch (error) {
	process.stderr.write(`\nfailed at step "${step}": ${(error as Error).message}\n`);
	process.exitCode = 1;
} finally {
	await installation.dispose();
}
