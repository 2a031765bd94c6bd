/** One row of the state bench: the measurement, its conditions and its figures. */
export type StateRow = Readonly<Record<string, string | number>>;
