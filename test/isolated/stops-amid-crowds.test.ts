import test from 'ava';
import {AbusiveClients} from '../fixtures/abusive-clients.ts';
import {OpenConnections} from '../fixtures/open-connections.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';

const memoryMb = 210;
const descriptors = 512;
const connections = 600;

const servers = [
	{role: 'entry', port: 'callers', path: '/calls/1'},
	{role: 'control', port: 'directory', path: '/resolve?name=prairie.example&region=regina&zone=regina-a'},
	{role: 'control', port: 'operators', path: '/configuration'},
	{role: 'tree', port: 'tree', path: '/v1/announcements'},
] as const;

for (const {role, port, path} of servers) {
	// Guards against processes that a crowd keeps from ending, or from serving once they have started again.
	test(`a process of the role ${role} ends and starts again amid clients without regard for limits at ${port}`, async t => {
		const deployment = await ProcessDeployment.start({memoryMb, descriptors});
		const clients = new AbusiveClients({port: deployment.ports[port], path});
		const idle = new OpenConnections({
			port: deployment.ports[port], count: connections, reopens: true, bytes: () => `PUT ${path} HTTP/1.1\r\nHost: prairie.example\r\nContent-Length: 100\r\n\r\npart`,
		});
		t.teardown(async () => {
			clients.close();
			idle.close();
			await deployment.close();
		});
		await clients.open(AbusiveClients.kinds);
		await idle.open();
		t.is(await deployment.stop(role), 0, 'the process did not end by itself');
		deployment.restart(role);
		t.true(await deployment.isAccepting(deployment.ports[port]), 'the process accepts no connections');
		await clients.open(AbusiveClients.kinds);
		t.true(await deployment.isServed({port: deployment.ports.tree, path: '/healthz'}), 'the node with a settings tree did not answer');
		t.true(await deployment.isConfigured(), 'a change of the configuration was not accepted');
		t.true(await deployment.isCallServed(), 'an ordinary call was not answered');
		t.true(await deployment.isStreamServed(), 'an ordinary stream was not answered');
		for (const each of ['entry', 'control', 'tree'] as const) {
			t.not(deployment.pid(each), undefined, `the ${each} has ended`);
		}
	});
}
