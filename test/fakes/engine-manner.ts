import type {endlessAnswers} from './endless-answers.ts';

/**
 * How the stand-in answers. `well`: correctly; `cut`: resets the connection of a stream within its third event; `short`: ends a stream within its third event, and a call within its document, without a reset;
 * `reset`: resets the connection before the answer;
 * `full`: refuses with 503 without running the request; `nameless`: the same, without the request's identifier; `doubled`: refuses the first request of a connection, runs the others, and answers them with that refusal; `silent`: never answers; `foreign`: answers with the identifier of another request; `unsigned`: answers without its `server-signature`;
 * `bodiless`: sends the head of an answer that has no length, and ends the connection;
 * `stalled-body`: sends a part of a long answer, below what one answer may have, and nothing more;
 * `raw`: sends `rawAnswer` once the head of a request has arrived, reads no body, and ends the connection;
 * `endless-…`: sends bytes that are no answer, in a place of the answer, until its connection is closed.
 */
export type EngineManner = 'well' | 'cut' | 'short' | 'reset' | 'full' | 'nameless' | 'doubled' | 'silent' | 'foreign' | 'unsigned' | 'bodiless' | 'stalled-body' | 'raw' | keyof typeof endlessAnswers;
