/** How a target ends a connection: `with-bytes`: in order, in the packet of the last bytes; `later`: in order, in a packet of its own; `reset`: with a reset, after the last bytes were read; `reset-at-once`: with a reset that overtakes them or not; `never`: it stays open. */
export type ConnectionEnd = 'with-bytes' | 'later' | 'reset' | 'reset-at-once' | 'never';
