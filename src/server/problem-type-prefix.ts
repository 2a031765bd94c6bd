/** Start of the type of each problem document that an entry makes; the code of the result follows. */
export const problemTypePrefix = 'urn:lovageferry:result:';
