import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as nextCycle} from 'node:timers/promises';
import test from 'ava';
import type {AttemptId} from '../../src/core/ids/attempt-id.ts';
import type {CoreEvent} from '../../src/core/events.ts';
import type {TargetId} from '../../src/core/ids/target-id.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import {AttemptClient} from '../../src/server/attempt-client.ts';
import {CallerRequest} from '../../src/server/caller-request.ts';
import {PeerToken} from '../../src/server/peer-token.ts';
import {ProcessMemory} from '../../src/server/process-memory.ts';
import {RawTarget} from '../fakes/raw-target.ts';
import {requestInfoFixture} from '../fixtures/request-info-fixture.ts';

for (const status of ['429 Too Many Requests', '408 Request Timeout', '421 Misdirected Request']) {
	test(`an order that a service runs gets that service's earlier answer, written once more: ${status}`, async t => {
		const answers: string[] = [];
		// Names no attempt, as a service that knows nothing of entries.
		const refusal = `HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`;
		const target = new RawTarget(({earlier}) => {
			const bytes = answers.length === 0 || earlier > 0 ? refusal : 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone';
			answers.push(bytes);
			return {bytes, end: 'never'};
		});
		await target.listen();
		t.teardown(async () => target.close());
		let resolveEvent: (event: CoreEvent) => void;
		const client = new AttemptClient({
			self: {nodeId: 'regina-1', region: 'regina'},
			token: new PeerToken(() => ['key']),
			memory: new ProcessMemory(),
			step(event) {
				if (event.type === 'attempt-end' || event.type === 'attempt-failed') {
					resolveEvent(event);
				}
			},
		});
		t.teardown(async () => client.close());
		const send = async (attemptId: string) => new Promise<CoreEvent>(resolve => {
			resolveEvent = resolve;
			const info = requestInfoFixture({kind: 'call', streamed: false});
			client.start({
				type: 'start-attempt', requestId: info.requestId, attemptId: toId<AttemptId>(attemptId), address: target.address, targetId: toId<TargetId>('d1'),
				revision: 1, claimed: true, resume: false, standby: false, deadlineMs: 3000, firstByteMs: 3000, silenceMs: 3000, keepBytes: 200,
			}, new CallerRequest({
				info, body: Buffer.from('order'), method: 'POST', targetPath: '/orders', headers: {}, res: new ServerResponse(new IncomingMessage(new Socket())), memory: new ProcessMemory(),
			}));
		});
		t.like(await send('attempt-1'), {type: 'attempt-end', answer: {status: Number.parseInt(status, 10)}});
		await nextCycle();
		t.like(await send('attempt-2'), {type: 'attempt-end', answer: {status: 200}});
	});
}
