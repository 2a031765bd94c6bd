/** Files of the platform's build, all in one folder. */
export const bundleFiles = {
	/** Started by Node; loads the bundle. */
	launcher: 'lovageferry.cjs',
	/** The program, as ASCII text: V8 keeps one byte a character of it in memory. */
	bundle: 'lovageferry-bundle.cjs',
	/** V8's code cache of the bundle; without it the program starts more slowly. */
	codeCache: 'lovageferry-bundle.cache',
} as const;
