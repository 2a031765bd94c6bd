/** Payload that the receiver of a link signs to prove that it holds the peer key; `identity` is that of the link. */
export function replyIdentity(identity: string): string {
	return `reply;${identity}`;
}
