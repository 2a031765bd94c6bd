/** A routes document as the operator sent it, with its version. The text is kept so that it can be returned unchanged. */
export type StoredDocument = {readonly version: number; readonly text: string};
