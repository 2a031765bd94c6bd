import test, {type ExecutionContext} from 'ava';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {relayHeader} from '../../../src/server/routes/relay-header.ts';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const keys = {vosi: 'vosi-secret-1', dape: 'dape-secret-2'};

/** The usual configuration with organisations, and with `/drafts/` open. */
function configurationOf(version: number, tenants: readonly object[]): string {
	const {routes, ...rest} = JSON.parse(platformConfiguration(version)) as {routes: ReadonlyArray<{name: string}>};
	return JSON.stringify({...rest, routes: routes.map(route => ({...route, anonymous: route.name === 'drafts'})), tenants});
}

/** A deployment in which this configuration is in force. */
async function start(t: ExecutionContext, text: string): Promise<RoutesDeployment> {
	const deployment = await RoutesDeployment.start({desk: ['d1'], writers: ['w1']});
	t.teardown(async () => deployment.close());
	await install(t, deployment, text);
	return deployment;
}

async function install(t: ExecutionContext, deployment: RoutesDeployment, text: string): Promise<void> {
	const {version} = JSON.parse(text) as {version: number};
	t.is(await deployment.statusOf('PUT', '/configuration', text), 200);
	t.true(await deployment.waitUntil(async () => await deployment.gauge('document_version') === version));
}

test('a deployment with organisations serves known keys, names the organisation to targets, and keeps keys to itself', async t => {
	const text = configurationOf(2, [{name: 'vosi', 'access-keys': [keys.vosi]}]);
	const deployment = await start(t, text);
	const [engine] = deployment.desk;
	const call = async (headers: Record<string, string>, path = '/calls/1') => {
		const res = await deployment.call({path, headers});
		return {status: res.statusCode, headers: res.headers, body: await res.body.text()};
	};

	const served = await call({authorization: `Token ${keys.vosi}`, tenant: 'forged'});
	t.is(served.status, 200);
	t.is(engine!.receivedRequests[0]!.headers.tenant, 'vosi');
	t.is(engine!.receivedRequests[0]!.headers.authorization, undefined);

	const unauthorized: ReadonlyArray<Record<string, string>> = [
		{}, {authorization: `Token ${keys.dape}`}, {authorization: `Bearer ${keys.vosi}`}, {tenant: 'vosi', [relayHeader.organisationName]: 'vosi'},
	];
	for (const headers of unauthorized) {
		const refusal = await call(headers); // eslint-disable-line no-await-in-loop
		t.is(refusal.status, 401);
		t.deepEqual(JSON.parse(refusal.body), {title: 'unauthorized', ran: 'no'});
		t.is(refusal.headers['www-authenticate'], 'Token');
	}

	t.is(engine!.receivedRequests.length, 1);
	const open = await call({'token-counts': '10,10', tenant: 'forged'}, '/drafts/1');
	t.is(open.status, 200);
	t.is(deployment.writers[0]!.receivedRequests[0]!.headers.tenant, undefined);

	// Another entry has identified the caller of a forwarded request.
	const relayed = relayHeader.write({region: toId('winnipeg'), documentVersion: 2, service: toId<ServiceName>('desk')});
	const forwarded = await deployment.forward({headers: {[relayHeader.organisationName]: relayHeader.writeOrganisation(toId('vosi'))}}, relayed);
	t.is(forwarded.statusCode, 200);
	await forwarded.body.dump();
	t.is(engine!.receivedRequests.at(-1)!.headers.tenant, 'vosi');
	t.is(engine!.receivedRequests.at(-1)!.headers[relayHeader.organisationName], undefined);

	t.is(await deployment.gauge(String.raw`organisation_requests_total\{reason="vosi"\}`), 1);
	t.is(await deployment.gauge(String.raw`refusals_total\{reason="unauthorized"\}`), 4);
	t.deepEqual(await deployment.callControl('GET', '/configuration'), {status: 200, body: text});
});

// Guards against a 431 for a request whose own headers are within the limit of the configuration.
test('headers that entries add to a forwarded request do not count towards the limit of callers', async t => {
	const deployment = await start(t, configurationOf(2, [{name: 'vosi', 'access-keys': [keys.vosi]}]));
	const relayed = relayHeader.write({region: toId('winnipeg'), documentVersion: 2, service: toId<ServiceName>('desk')});
	const organisation = relayHeader.writeOrganisation(toId('ë'.repeat(200)));
	const res = await deployment.forward({headers: {long: 'x'.repeat(15_200), [relayHeader.organisationName]: organisation}}, relayed);
	await res.body.dump();
	t.is(res.statusCode, 200);
});

test('a key that is added is served, one that is removed is refused, and an invalid change leaves the version in force', async t => {
	const tenantOf = (key: string) => [{name: 'vosi', 'access-keys': [key]}];
	const deployment = await start(t, configurationOf(2, tenantOf(keys.vosi)));
	const statusWith = async (key: string) => {
		const res = await deployment.call({headers: {authorization: `Token ${key}`}});
		await res.body.dump();
		return res.statusCode;
	};

	await install(t, deployment, configurationOf(3, tenantOf(keys.dape)));
	t.deepEqual([await statusWith(keys.vosi), await statusWith(keys.dape)], [401, 200]);
	const invalid = [{name: 'vosi', 'access-keys': [keys.vosi]}, {name: 'dape', 'access-keys': [keys.vosi], 'home-regions': ['nowhere']}];
	const {status, body} = await deployment.callControl('PUT', '/configuration', configurationOf(4, invalid));
	t.is(status, 400);
	t.regex(body, /organisation dape: key 1 is also a key of vosi/v);
	t.regex(body, /home region nowhere is not a region of this deployment: use regina/v);
	t.false(body.includes(keys.vosi));
	t.deepEqual([await statusWith(keys.vosi), await statusWith(keys.dape)], [401, 200]);

	// Without organisations, what callers send is passed on as before.
	await install(t, deployment, platformConfiguration(5));
	const res = await deployment.call({headers: {authorization: 'Token own', tenant: 'own'}});
	await res.body.dump();
	t.like(deployment.desk[0]!.receivedRequests.at(-1)!.headers, {authorization: 'Token own', tenant: 'own'});
});
