/** One line of the state bench: what was measured, under which conditions, and the figures. */
export type StateRow = Readonly<Record<string, string | number>>;
