import type {RequestTrait} from '../ids/request-trait.ts';
import {toId} from '../ids/to-id.ts';
import type {EdgeRequest} from './edge-request.ts';
import {sharedParts} from './shared-parts.ts';

/** What a request has in common with others and may crash targets: the shared parts of its prompt. */
export function traitsOf({prompt}: EdgeRequest): readonly RequestTrait[] {
	return prompt === undefined ? [] : sharedParts(prompt).map(({id}) => toId<RequestTrait>(`part:${id}`));
}
