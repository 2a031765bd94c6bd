import test from 'ava';
import {readTargetNotice} from '../../src/server/read-target-notice.ts';

for (const status of [200, 202, 301, 400, 404, 409, 429, 500, 502, 504]) {
	test(`an answer with status ${status} and Retry-After pauses its target`, t => {
		t.is(readTargetNotice(status, {'retry-after': '3'}), undefined);
		const leaving = readTargetNotice(status, {'retry-after': '3', 'lovageferry-leaving': '1'});
		t.like(leaving, {leaving: true, pauseMs: undefined});
	});
}

test('an answer with status 503 and Retry-After does not pause its target', t => {
	t.like(readTargetNotice(503, {'retry-after': '3'}), {leaving: false, pauseMs: 3000});
	t.is(readTargetNotice(503, {}), undefined);
});
