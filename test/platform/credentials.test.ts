import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {validateHeaderValue} from 'node:http';
import test from 'ava';
import fc from 'fast-check';
import {platformRequestCodec} from '../../platform/platform-request-codec.ts';
import {readDocument} from '../../platform/read-document.ts';
import type {Millis} from '../../src/core/ids/millis.ts';
import type {OrganisationId} from '../../src/core/ids/organisation-id.ts';
import type {TargetId} from '../../src/core/ids/target-id.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import {documentProblems} from '../../src/core/routes/document-problems.ts';
import {relayHeader} from '../../src/server/routes/relay-header.ts';
import {EdgeHarness} from '../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../fixtures/listed-target-fixture.ts';
import {platformConfiguration} from '../fixtures/platform-configuration.ts';

const request = {method: 'POST', url: '/calls/1'};
const targetId = toId<TargetId>('d1');

/** Header lines as Node reads them: a byte of the wire is one character. */
const onWire = (text: string) => Buffer.from(text, 'utf8').toString('latin1');

test('the key of an Authorization header is read whatever its scheme\'s case, blanks and encoding', t => {
	const digest = (value: string) => platformRequestCodec.readRequest({...request, rawHeaders: ['AUTHORIZATION', onWire(value)]}).keyDigest as string | undefined;
	const expected = (key: string) => createHash('sha256').update(key).digest('hex');
	t.is(digest('Token abc'), expected('abc'));
	t.is(digest('token  abc '), expected('abc'));
	t.is(digest('Token Schlüssel 1'), expected('Schlüssel 1'));
	t.deepEqual(['Token', 'Token ', 'Bearer abc', 'Tokenabc', ''].map(value => digest(value)), [undefined, undefined, undefined, undefined, undefined]);
});

test('the key and the caller\'s Tenant header are passed on only without organisations; the name of the organisation is sent instead', t => {
	const head = platformRequestCodec.readRequest({...request, rawHeaders: ['Authorization', 'Token abc', 'X-Own', '1', 'tenant', 'forged', 'Lovageferry-Organisation', 'forged']});
	const options = {deadlineMs: 5, targetId, urgency: 1};
	t.deepEqual(platformRequestCodec.outgoingHeaders(head, {...options, passesCredentials: true}).slice(0, 6), ['X-Own', '1', 'Authorization', 'Token abc', 'tenant', 'forged']);
	const common = ['X-Own', '1', 'Deadline-Milliseconds', '5', 'Expected-Instance', 'd1'];
	t.deepEqual(platformRequestCodec.outgoingHeaders(head, options), common);
	t.deepEqual(platformRequestCodec.outgoingHeaders(head, {...options, organisation: toId<OrganisationId>('Zürich')}), [...common, 'Tenant', onWire('Zürich')]);
});

const key = fc.string({minLength: 6, maxLength: 30, unit: 'grapheme-ascii'}).map(text => `K${text.replaceAll(/[\\"]/gv, 'x')}Y`);
const name = fc.string({minLength: 1, maxLength: 20, unit: 'grapheme'});
const authorization = fc.record({
	header: fc.constantFrom('Authorization', 'authorization', 'AUTHORIZATION', 'Proxy-Authorization'),
	scheme: fc.constantFrom('Token ', 'token ', 'TOKEN  ', 'Bearer ', 'Basic ', ''),
	isKnown: fc.boolean(),
});

const callers = fc.record({
	valid: key, other: key, organisation: name, credentials: fc.array(authorization, {maxLength: 3}), isOpen: fc.boolean(), cut: fc.nat(),
});

// Guards against a key in what targets, other entries, callers, operators or the log get.
test('no key occurs in any output of an entry, nor in the problems of a document', t => {
	let sent = 0;
	let refused = 0;
	fc.assert(fc.property(callers, ({valid, other, organisation, credentials, isOpen, cut}) => {
		const keys = [valid, other];
		const text = JSON.stringify({
			...JSON.parse(platformConfiguration(1)) as object,
			routes: [{
				name: 'calls', host: 'prairie.example', 'path-prefix': '/calls/', kind: 'safe', service: 'desk', 'timeout-ms': 3000, anonymous: isOpen,
			}],
			tenants: [{name: organisation, 'access-keys': [valid]}],
		});
		const outputs: unknown[] = [];
		const result = readDocument(text);
		const problemsOf = (read: ReturnType<typeof readDocument>) => 'problems' in read ? read.problems : documentProblems(read.document);
		const damaged = readDocument(text.slice(0, cut % text.length));
		const doubled = readDocument(text.replace('"tenants":[', `"tenants":[{"name":"n","access-keys":[${JSON.stringify(valid)}]},`));
		outputs.push(...[result, damaged, doubled].map(read => problemsOf(read)));
		if ('document' in result && documentProblems(result.document).length === 0) {
			const harness = new EdgeHarness({document: result.document});
			harness.feed({targets: [listedTargetFixture('a')]});
			const rawHeaders = credentials.flatMap(({header, scheme, isKnown}) => [header, `${scheme}${isKnown ? valid : other}`]);
			const head = platformRequestCodec.readRequest({...request, rawHeaders: ['Tenant', 'forged', ...rawHeaders]});
			harness.request({path: head.path, keyDigest: head.keyDigest});
			for (const start of harness.starts()) {
				sent += 1;
				for (const receiver of [targetId, undefined]) {
					const headers = platformRequestCodec.outgoingHeaders(head, {...start, targetId: receiver});
					if (start.organisation !== undefined) {
						headers.push(relayHeader.organisationName, relayHeader.writeOrganisation(start.organisation));
						t.is(relayHeader.readOrganisation(headers.at(-1)), start.organisation);
					}

					for (const value of headers) {
						validateHeaderValue('x-any', value);
					}

					t.false(headers.includes('forged'));
					outputs.push(headers);
				}
			}

			refused += harness.refusals().length;
			outputs.push(harness.actions, harness.core.status(harness.now as Millis));
		}

		const output = JSON.stringify(outputs);
		// A name may be anything, even a key.
		return keys.every(each => organisation.includes(each) || !output.includes(each));
	}), {seed: 61, numRuns: 1000});
	t.true(sent > 100 && refused > 100, `sent ${sent}, refused ${refused}`);
});
