import process from 'node:process';
import {cac, type CAC} from 'cac';
import type {CommandLineOptions} from './commands/command-line-options.ts';
import {exitCodes} from './commands/exit-codes.ts';
import {ignoreClosedOutput} from './commands/ignore-closed-output.ts';
import type {PlatformAdapter} from './server/routes/platform-adapter.ts';
import {version} from './version.ts';

type CommandLineSetup = {
	/** Adapter for the platform that this build supports, used by deployments with a routes document. */
	readonly adapter?: PlatformAdapter;
};

/** Parses the process's arguments and runs the command; sets the exit code for an unknown or missing one. */
export async function runCommandLine({adapter}: CommandLineSetup = {}): Promise<void> {
	const cli = cac('lovageferry');
	defineCommands(cli, adapter);

	ignoreClosedOutput(process.stdout);
	cli.parse(process.argv, {run: false});
	if (!cli.matchedCommand && !cli.options.help && !cli.options.version) {
		const [command] = cli.args;
		process.stderr.write(`${command === undefined ? 'A command is needed' : `Unknown command "${command}"`}: see lovageferry --help.\n`);
		process.exitCode = exitCodes.usage;
		return;
	}

	await cli.runMatchedCommand();
}

function defineCommands(cli: CAC, adapter: PlatformAdapter | undefined): void {
	cli
		.command('run <settings>', 'Run one process of the system with a settings file')
		.action(async (settings: string) => {
			const {run} = await import('./commands/run.ts');
			await run(settings, adapter);
		});

	cli
		.command('check <file>', 'Check a settings file, or a routes document before it is sent: prints every problem, exit code 2 if there is an error')
		.option('--against <source>', 'With a routes document: file or control node (ip:port) to compare with')
		.option('--json', 'With a routes document: print JSON')
		.example('lovageferry check routes.json --against 10.0.0.4:8080')
		.action(async (file: string, {against, json}: CommandLineOptions) => {
			const {check} = await import('./commands/check.ts');
			await check(file, {adapter, against: against === undefined ? undefined : String(against), json: json === true});
		});

	cli
		.command('explain <request> [...logs]', 'Show the timeline and cause of one request from the structured logs of several processes')
		.example('lovageferry explain 9c41d07be2a35f68 entry-1.log entry-2.log control-1.log')
		.action(async (request: string, logs: string[]) => {
			const {explain} = await import('./commands/explain.ts');
			explain(request, logs);
		});

	cli
		.command('timeline [...logs]', 'Show how long each stage of the start of processes took, from their structured logs')
		.example('lovageferry timeline entry-1.log entry-2.log control-1.log')
		.action(async (logs: string[]) => {
			const {timeline} = await import('./commands/timeline.ts');
			timeline(logs);
		});

	const operatorCommand = (name: string, description: string) => cli
		.command(name, description)
		.option('--entry <address>', 'Address of the entry (ip:port); repeat the option to add fallbacks', {default: '127.0.0.1:7101'})
		.option('--key-file <file>', 'File with the operator key', {default: 'operator.key'})
		.option('--json', 'Print JSON');

	operatorCommand('tree <action> [...args]', 'Settings tree: show [path] | set <path> <key> <value> | unset <path> <key> | create <path> | delete <path> [recursive] | apply <file> | history')
		.usage('tree show [path] | set <path> <key> <value> | unset <path> <key> | create <path> | delete <path> [recursive] | apply <file> | history')
		.option('--resolved', 'Show settings after inheritance')
		.option('--prune', 'With apply: delete nodes and settings that are not in the file')
		.option('--change-id <id>', 'Id of the change; use the same id to retry a change whose answer was lost')
		.option('--number <revision>', 'Number of the change (default: the next revision)')
		.option('--no-wait', 'Do not wait until the change is in force everywhere')
		.example('lovageferry tree set prairie/print/proofer deadlineMs 20000 --entry 127.0.0.1:7101')
		.action(async (action: string, args: string[], options: CommandLineOptions) => {
			const {tree} = await import('./commands/tree.ts');
			await tree(action, args, options);
		});

	for (const [name, description] of [
		['status', 'Show the state of an entry, its region, the other regions and the settings log'],
		['targets', 'List the targets of the entry\'s region'],
		['entries', 'List the entries that callers may use, in order of preference'],
	] as const) {
		operatorCommand(name, description)
			.option('--zone <zone>', 'With entries: zone of the caller')
			.action(async (options: CommandLineOptions) => {
				const {show} = await import('./commands/show.ts');
				await show(name, options);
			});
	}

	operatorCommand('members <action> [node]', 'Members of the settings log: list | add <node> | remove <node>')
		.usage('members list | add <node> | remove <node>')
		.action(async (action: string, node: string | undefined, options: CommandLineOptions) => {
			const {members} = await import('./commands/members.ts');
			await members(action, node, options);
		});

	operatorCommand('keepers <action>', 'Claims of requests that must not run twice: status | accept-loss (name a keeper of the region with --entry)')
		.usage('keepers status | accept-loss')
		.action(async (action: string, options: CommandLineOptions) => {
			const {keepers} = await import('./commands/keepers.ts');
			await keepers(action, options);
		});

	cli.help();
	cli.version(version);
}
