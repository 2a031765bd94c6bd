import test from 'ava';
import {parseJsonText} from '../../src/server/parse-json-text.ts';
import {parsedJsonSize} from '../../src/server/parsed-json-size.ts';

test('values count, but not what looks like them within strings', t => {
	t.is(parsedJsonSize('{"a":[1,2,{}]}'), (3 * 64) + (2 * 24) + 24 + 2);
	t.is(parsedJsonSize(String.raw`"[,{\",["`), 24 + 8);
	t.is(parsedJsonSize('"no end, '), 24 + 9);
	t.is(parsedJsonSize(''), 0);
});

test('the characters of a string take two bytes each if one of them is beyond Latin-1', t => {
	t.is(parsedJsonSize('"abcé"'), 24 + 5);
	t.is(parsedJsonSize('"abc–"'), 24 + (2 * 5));
	t.is(parsedJsonSize(String.raw`"abc–\"–"`), 24 + (2 * 8));
});

test('a text of a few megabytes is parsed if it is ordinary, and not if its values take many times its size', t => {
	const message = JSON.stringify({role: 'user', content: 'word '.repeat(400)});
	const ordinary = `{"messages":[${Array.from({length: 2000}, () => message).join(',')}]}`;
	t.true(ordinary.length > 4_000_000);
	t.notThrows(() => parseJsonText(ordinary));
	t.throws(() => parseJsonText(`[${'{},'.repeat(1_000_000)}{}]`), {instanceOf: SyntaxError});
	t.throws(() => parseJsonText('no JSON'), {instanceOf: SyntaxError});
});
