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
];

export default config;
