import test from 'ava';
import {CompletionAssembler} from '../../src/server/completion-assembler.ts';

function chunk(delta: Record<string, unknown>, extra: Record<string, unknown> = {}): string {
	return JSON.stringify({
		id: 'one', created: 7, model: 'proof-writer', choices: [{index: 0, delta}], ...extra,
	});
}

test('assembles text, tool calls, finish reason and usage of a stream into one completion', t => {
	const assembler = new CompletionAssembler();
	assembler.add(chunk({role: 'assistant', content: 'Road '}));
	assembler.add(chunk({content: 'closed'}));
	assembler.add(chunk({
		tool_calls: [{
			index: 0, id: 'call-1', type: 'function', function: {name: 'print', arguments: '{"she'},
		}],
	}));
	assembler.add(chunk({tool_calls: [{index: 0, function: {arguments: 'ets":3}'}}]}));
	assembler.add(chunk({}, {choices: [{index: 0, delta: {}, finish_reason: 'stop'}], usage: {completion_tokens: 2}}));
	t.like(JSON.parse(assembler.toJson()), {
		id: 'one',
		object: 'chat.completion',
		usage: {completion_tokens: 2},
		choices: [{
			index: 0,
			finish_reason: 'stop',
			message: {role: 'assistant', content: 'Road closed', tool_calls: [{id: 'call-1', function: {name: 'print', arguments: '{"sheets":3}'}}]},
		}],
	});
});
