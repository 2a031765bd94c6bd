/** Header of a refusal by a target or an entry: whether the request ran, `no` or `maybe`. */
export const ranHeader = 'lovageferry-ran';
