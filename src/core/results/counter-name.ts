/**
 * Names of the counters in `/metrics`, each with a `reason` label where one applies.
 *
 * `away`: forwards to remote regions; `away_bytes`: the bytes sent with them. `changes`: outcomes of settings changes.
 * `admission`: requests that got room at once, had to wait or were refused without having run, by how early.
 * `predictions`: starts of requests that had waited, within the predicted time (`kept`) or after it (`broken`).
 * `broken_answers`: answers that had begun and that this entry ended before they were complete, by the last failure.
 * `poison`: events about requests that are suspected of crashing targets. `stale_messages`: messages, requests and
 * outcomes that were ignored because they were late, repeated or not meant for this process.
 */
export type CounterName =
	| 'requests'
	| 'admission'
	| 'predictions'
	| 'answers'
	| 'unframed_answers'
	| 'broken_answers'
	| 'refusals'
	| 'retries'
	| 'resumes'
	| 'away'
	| 'away_bytes'
	| 'attempts'
	| 'attempt_failures'
	| 'claims'
	| 'replays'
	| 'ejections'
	| 'poison'
	| 'announcements'
	| 'changes'
	| 'settings_updates'
	| 'elections'
	| 'peer_messages'
	| 'peer_bytes'
	| 'orders'
	| 'stale_messages';
