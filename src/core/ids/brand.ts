/** Gives a primitive type a name of its own, so that ids of different kinds cannot be mixed. */
export type Brand<Value, Name extends string> = Value & {readonly __brand: Name};
