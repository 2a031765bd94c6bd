const oneExport = {
	selector: 'Program > ExportNamedDeclaration ~ ExportNamedDeclaration',
	message: 'One export a file.',
};

const core = {
	files: ['src/core/**/*.ts'],
	rules: {
		'no-restricted-imports': ['error', {patterns: [{group: ['node:*'], message: 'The core has no input or output.'}]}],
		'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'performance', 'fetch'],
		'no-restricted-properties': [
			'error',
			{object: 'Date', property: 'now', message: 'Time comes in with the event.'},
			{object: 'Math', property: 'random', message: 'Randomness comes from the Random interface.'},
		],
		'no-restricted-syntax': [
			'error',
			oneExport,
			{selector: 'AwaitExpression', message: 'The core does not wait.'},
		],
	},
};

// The platform's names stand in platform/ alone.
const product = {
	files: ['src/**/*.ts', 'bench/**/*.ts', 'scripts/**/*.ts'],
	rules: {
		'@typescript-eslint/no-restricted-imports': ['error', {patterns: [{group: ['**/platform/*'], message: 'The product is handed a Dialect; it does not know the platform.'}]}],
	},
};

// platform/ translates: of the core it may use types, and the function that marks ids.
const platform = {
	files: ['platform/**/*.ts'],
	rules: {
		'@typescript-eslint/no-restricted-imports': ['error', {
			patterns: [{group: ['**/src/core/*.ts', '**/src/core/*/*.ts', '!**/src/core/ids/*.ts'], allowTypeImports: true, message: 'The adapter decides nothing.'}],
		}],
	},
};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['src/gen/**', 'dist/**']},
	{
		rules: {
			'no-restricted-syntax': ['error', oneExport],
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					req: true, res: true, cfg: true, err: true, Req: true, Res: true, Cfg: true, Err: true, args: true, params: true, env: true, dir: true, src: true, dev: true,
				},
			}],
			'import-x/extensions': 'off',
			'n/no-unsupported-features/node-builtins': 'off',
			// A class that keeps one concept often needs no instance state in each method (interfaces with classes are the house style).
			'class-methods-use-this': 'off',
			// Messages, codes and header names are data with names of their own.
			'@typescript-eslint/naming-convention': 'off',
			// The YAML scenarios and the wire use null.
			'@typescript-eslint/no-restricted-types': 'off',
			// Ava's assertions and event handlers are called for effect.
			'unicorn/prefer-event-target': 'off',
			'capitalized-comments': 'off',
			// Types for data, interfaces for behaviour that classes implement (house style).
			'@typescript-eslint/consistent-type-definitions': 'off',
			'no-bitwise': 'off',
			'max-params': ['error', 5],
		},
	},
	core,
	product,
	platform,
];

export default config;
