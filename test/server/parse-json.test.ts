import {Buffer} from 'node:buffer';
import test from 'ava';
import {parseJson} from '../../src/server/parse-json.ts';

test('a change with bytes that are no UTF-8 is refused, not read as another one', t => {
	t.deepEqual(parseJson(Buffer.from('{"key":"é"}')), {key: 'é'});
	t.is(parseJson(Buffer.from('{"key":"é"}', 'latin1')), undefined);
	t.is(parseJson(Buffer.from('{"key":')), undefined);
});
