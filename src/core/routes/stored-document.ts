/** A routes document as its operator sent it, with its version; the text is kept to be given back unchanged. */
export type StoredDocument = {readonly version: number; readonly text: string};
