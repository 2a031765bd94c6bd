/** What is wrong with a stream as its caller received it, over all its tries; undefined if it is whole and of one software version. */
export function streamProblem(text: string, eventCount = 6): string | undefined {
	const versions = new Set([...text.matchAll(/^version: (.*)$/gmv)].map(match => match[1]));
	if (versions.size > 1) {
		return `events of the software versions ${[...versions].join(' and ')}`;
	}

	const whole = Array.from({length: eventCount}, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`).join('');
	return text.replaceAll(/^version: .*\n/gmv, '') === whole ? undefined : `unexpected body ${JSON.stringify(text.slice(0, 200))}`;
}
