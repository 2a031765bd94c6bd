/** Header of a request to a target or another entry, and of its answer: the id of the attempt. */
export const attemptHeader = 'lovageferry-attempt';
