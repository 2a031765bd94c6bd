import diagnosticsChannel from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Bytes that a connection may carry beside the body of an answer: heads, interim answers, lengths and extensions of chunks, and what is received but not parsed yet. */
const maxFramingBytes = 1_048_576;
/** Bytes of framing allowed for each byte of the body; a chunk of one byte has five. */
const framingShare = 8;

/** An answer on a connection: what the connection had received before it, and the bytes of its body so far. */
type ReceivedAnswer = {readonly startBytes: number; bodyBytes: number};

const byRequest = new WeakMap<object, ReceivedAnswer>();
const bySocket = new WeakMap<Socket, ReceivedAnswer>();

// The HTTP client bounds the fields of a head only. Its diagnostics tell which request uses a connection, and what it receives.
diagnosticsChannel.subscribe('undici:client:sendHeaders', message => {
	const {request, socket} = message as {request: object; socket: Socket};
	const answer = {startBytes: socket.bytesRead, bodyBytes: 0};
	byRequest.set(request, answer);
	bySocket.set(socket, answer);
});
diagnosticsChannel.subscribe('undici:request:bodyChunkReceived', message => {
	const {request, chunk} = message as {request: object; chunk: Uint8Array};
	const answer = byRequest.get(request);
	if (answer !== undefined) {
		answer.bodyBytes += chunk.length;
	}
});

/** Tells how much of what targets send is no answer. */
export const answerFraming = {
	maxBytes: maxFramingBytes,
	/** True if a connection has received far more than the body of its answer needs: a target may send a reason phrase, extensions of chunks or interim answers without end. */
	isExcessive(socket: Socket): boolean {
		const answer = bySocket.get(socket);
		return answer !== undefined
			&& socket.bytesRead - answer.startBytes - answer.bodyBytes > maxFramingBytes + (framingShare * answer.bodyBytes);
	},
} as const;
