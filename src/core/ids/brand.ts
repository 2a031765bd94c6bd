/** Nominal type over a primitive, so that ids of different kinds cannot be mixed up. */
export type Brand<Value, Name extends string> = Value & {readonly __brand: Name};
