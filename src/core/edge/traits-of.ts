import type {RequestTrait} from '../ids/request-trait.ts';
import {toId} from '../ids/to-id.ts';
import type {EdgeRequest} from './edge-request.ts';
import {sharedParts} from './shared-parts.ts';

/** What a request has in common with others and may crash targets: its content, which callers send again, and the shared parts of its prompt. */
export function traitsOf({fingerprint, prompt}: EdgeRequest): readonly RequestTrait[] {
	const parts = prompt === undefined ? [] : sharedParts(prompt);
	return [toId(`content:${fingerprint}`), ...parts.map(({id}) => toId<RequestTrait>(`part:${id}`))];
}
