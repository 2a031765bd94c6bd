import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {retryAfterPauseMs} from '../../../src/core/targets/retry-after-pause-ms.ts';

test('callers of targets that pause for long are told to return over a time that grows with the pause', t => {
	const random = new SeededRandom(38);
	for (const [pauseMs, least, most] of [[1000, 1000, 1500], [8000, 8000, 10_000], [240_000, 30_000, 37_500]] as const) {
		const delays = Array.from({length: 200}, () => retryAfterPauseMs(pauseMs, random));
		t.true(Math.min(...delays) >= least && Math.max(...delays) <= most, `${Math.min(...delays)} to ${Math.max(...delays)} ms after a pause of ${pauseMs} ms`);
	}
});
