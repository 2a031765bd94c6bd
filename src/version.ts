/** Version of lovageferry. */
export const version = '0.1.0';
