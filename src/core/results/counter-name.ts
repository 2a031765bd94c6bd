/**
 * Names of the counters in `/metrics`, each with a `reason` label where one applies.
 *
 * `clients_turned_away`: clients that were refused to protect the process.
 * `away`: forwards to remote regions; `away_bytes`: the bytes sent with them. `changes`: outcomes of settings changes.
 * `ignored_load_figures`: figures in targets' reports of their load that were not plausible.
 * `broken_answers`: answers that had begun and that this entry ended before they were complete, by the last failure.
 * `long_overlaps`: attempts that were at work beside another one of their request for longer than is allowed, by the reason of their cancel.
 * `organisation_...`: requests that callers sent to this entry, by organisation.
 * `poison`: events about requests that are suspected of crashing targets. `stale_messages`: messages, requests and
 * outcomes that were ignored because they were late, repeated or not meant for this process.
 */
export type CounterName =
	| 'clients_turned_away'
	| 'requests'
	| 'answers'
	| 'unframed_answers'
	| 'broken_answers'
	| 'long_overlaps'
	| 'refusals'
	| 'retries'
	| 'resumes'
	| 'away'
	| 'away_bytes'
	| 'attempts'
	| 'attempt_failures'
	| 'ignored_load_figures'
	| 'claims'
	| 'replays'
	| 'ejections'
	| 'poison'
	| 'announcements'
	| 'changes'
	| 'organisation_requests'
	| 'organisation_answers'
	| 'organisation_refusals'
	| 'settings_updates'
	| 'elections'
	| 'peer_messages'
	| 'peer_bytes'
	| 'orders'
	| 'stale_messages';
