/** Why a client was turned away, or its connection closed, to protect the process: the label of the counter `clients_turned_away`. */
export type TurnedAway =
	| 'stalled-body'
	| 'largest-body'
	| 'oversized-body'
	| 'slow-body'
	| 'no-room-for-body'
	| 'oversized-head'
	| 'unread-head'
	| 'pipelined'
	| 'unread-answer'
	| 'large-request'
	| 'too-many-connections'
	| 'too-many-requests'
	| 'too-many-targets'
	| 'too-many-values'
	| 'unusable-report'
	| 'slow-head';
