import test, {type ExecutionContext} from 'ava';
import {OpenConnections} from '../fixtures/open-connections.ts';
import {ProcessDeployment} from '../fixtures/process-deployment.ts';
import {processUsage} from '../fixtures/process-usage.ts';

const memoryMb = 210;
/** Descriptors that each process may have open. */
const descriptors = 256;
/** Descriptors that stay free for files, links between nodes and connections to targets. */
const freeDescriptors = 16;
/** More than all descriptors of a process. */
const connections = 300;

type Port = 'callers' | 'readiness' | 'operators' | 'directory' | 'tree' | 'relay' | 'entry links' | 'control links' | 'tree links';

const paths: Readonly<Record<Port, string>> = {
	callers: '/calls/1',
	relay: '/calls/1',
	readiness: '/readiness',
	operators: '/configuration',
	directory: '/resolve?name=prairie.example&region=regina&zone=regina-a',
	tree: '/healthz',
	'entry links': '/',
	'control links': '/',
	'tree links': '/',
};

/** What each connection sends before it is kept open. */
const behaviours: Readonly<Record<string, (path: string) => string>> = {
	'send nothing': () => '',
	'send a part of a head': path => `GET ${path} HTTP/1.1\r\nHost: prairie.example\r\n`,
	'send a part of a body': path => `PUT ${path} HTTP/1.1\r\nHost: prairie.example\r\nContent-Length: 100\r\n\r\npart`,
	'are kept after a request': () => 'GET /unknown HTTP/1.1\r\nHost: prairie.example\r\n\r\n',
};

function portOf({ports, relayPort, linkPorts}: ProcessDeployment, name: Port): number {
	const internal: Partial<Record<Port, number>> = {
		relay: relayPort, 'entry links': linkPorts.entry, 'control links': linkPorts.control, 'tree links': linkPorts.tree,
	};
	return internal[name] ?? ports[name as keyof typeof ports];
}

function assertDescriptors(t: ExecutionContext, deployment: ProcessDeployment): void {
	for (const role of ['entry', 'control', 'tree'] as const) {
		const pid = deployment.pid(role);
		t.not(pid, undefined, `the ${role} has ended`);
		const usage = pid === undefined ? undefined : processUsage(pid);
		t.log(`${role}: ${usage?.peakMb} MB, ${usage?.descriptors} descriptors`);
		t.true(usage !== undefined && usage.descriptors <= descriptors - freeDescriptors, `${role}: ${usage?.descriptors} of ${descriptors} descriptors were open`);
		t.true(usage !== undefined && usage.peakMb <= memoryMb, `${role}: ${usage?.peakMb} MB were resident`);
	}
}

/** Asserts that ordinary requests to all servers are answered, the operator's included. */
async function assertServed(t: ExecutionContext, deployment: ProcessDeployment): Promise<void> {
	for (const port of ['readiness', 'directory', 'tree'] as const) {
		t.true(await deployment.isServed({port: deployment.ports[port], path: paths[port]}), `${port} did not answer`); // eslint-disable-line no-await-in-loop
	}

	t.true(await deployment.isConfigured(), 'a change of the configuration was not accepted');
	t.true(await deployment.isCallServed(), 'an ordinary call was not answered');
	t.true(await deployment.isStreamServed(), 'an ordinary stream was not answered');
}

for (const [name, path] of Object.entries(paths) as ReadonlyArray<[Port, string]>) {
	for (const [title, bytes] of Object.entries(behaviours)) {
		// Guards against processes whose descriptors are all taken by connections that are kept open.
		test(`${name}: connections that ${title}`, async t => {
			const deployment = await ProcessDeployment.start({memoryMb, descriptors});
			const clients = new OpenConnections({
				port: portOf(deployment, name), count: connections, bytes: () => bytes(path), reopens: true,
			});
			t.teardown(async () => {
				clients.close();
				await deployment.close();
			});
			await clients.open();
			assertDescriptors(t, deployment);
			await assertServed(t, deployment);
			assertDescriptors(t, deployment);
			clients.close();
			await assertServed(t, deployment);
		});
	}
}
