import test, {type ExecutionContext} from 'ava';
import {AbusiveClients} from '../fixtures/abusive-clients.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';
import {processUsage} from '../fixtures/process-usage.ts';

/** Memory of the smallest VM of the deployments, in MB: what a process may have resident. */
const memoryMb = 210;
/** Descriptors of a process beside the connections of the clients: listeners, links, files and the ordinary callers. */
const ownDescriptors = 100;

type Server = {
	readonly title: string;
	readonly role: 'entry' | 'control' | 'tree';
	readonly port: keyof ProcessDeployment['ports'];
	readonly path: string;
	readonly isServed: (deployment: ProcessDeployment) => Promise<boolean>;
};

const directoryPath = '/resolve?name=prairie.example&region=regina&zone=regina-a';
const servers: readonly Server[] = [
	{
		title: 'entry', role: 'entry', port: 'callers', path: '/calls/1', isServed: async deployment => deployment.isCallServed(),
	},
	{
		title: 'control, operators',
		role: 'control',
		port: 'operators',
		path: '/configuration',
		isServed: async deployment => deployment.isServed({port: deployment.ports.operators, path: '/configuration'}),
	},
	{
		title: 'control, directory',
		role: 'control',
		port: 'directory',
		path: directoryPath,
		isServed: async deployment => deployment.isServed({port: deployment.ports.directory, path: directoryPath}),
	},
	{
		title: 'settings tree',
		role: 'tree',
		port: 'tree',
		path: '/v1/announcements',
		isServed: async deployment => deployment.isServed({port: deployment.ports.tree, path: '/healthz'}),
	},
];

/** Asserts that the process lives within its bounds and serves an ordinary caller. */
async function assertBounded(t: ExecutionContext, deployment: ProcessDeployment, {role, isServed}: Server): Promise<void> {
	const served = await isServed(deployment);
	const pid = deployment.pid(role);
	t.not(pid, undefined, 'the process has ended');
	const usage = processUsage(pid!);
	t.log(`${usage?.peakMb} MB, ${usage?.descriptors} descriptors`);
	t.true(usage !== undefined && usage.peakMb <= memoryMb, `${usage?.peakMb} MB were resident`);
	t.true(usage !== undefined && usage.descriptors <= AbusiveClients.total + ownDescriptors, `${usage?.descriptors} descriptors were open`);
	t.true(served, 'an ordinary request was not answered');
}

for (const server of servers) {
	for (const kinds of [...AbusiveClients.kinds.map(kind => [kind]), AbusiveClients.kinds]) {
		// Guards against processes that run out of memory, or answer nobody, because of clients without regard for limits.
		test.serial(`${server.title}: ${kinds.length === 1 ? kinds[0]! : 'all kinds at once'}`, async t => {
			const deployment = await ProcessDeployment.start({memoryMb});
			const clients = new AbusiveClients({port: deployment.ports[server.port], path: server.path});
			t.teardown(async () => {
				clients.close();
				await deployment.close();
			});
			await clients.open(kinds);
			await clients.sent();
			await assertBounded(t, deployment, server);
			clients.close();
			await assertBounded(t, deployment, server);
		});
	}
}
