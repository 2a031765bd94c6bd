const oneExport = {
	selector: 'Program > ExportNamedDeclaration ~ ExportNamedDeclaration',
	message: 'One export a file.',
};

const core = {
	files: ['src/core/**/*.ts'],
	rules: {
		'no-restricted-imports': ['error', {patterns: [{group: ['node:*'], message: 'The core does no I/O.'}]}],
		'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'performance', 'fetch'],
		'no-restricted-properties': [
			'error',
			{object: 'Date', property: 'now', message: 'The core takes the time as an argument (`now`).'},
			{object: 'Math', property: 'random', message: 'Randomness comes from the Random interface.'},
		],
		'no-restricted-syntax': [
			'error',
			oneExport,
			{selector: 'AwaitExpression', message: 'The core is synchronous.'},
		],
	},
};

// Only platform/ knows the names and formats of the platform; the product gets them as a PlatformAdapter (RequestCodec and ControlCodec).
const product = {
	files: ['src/**/*.ts', 'bench/**/*.ts', 'scripts/**/*.ts'],
	rules: {
		'@typescript-eslint/no-restricted-imports': ['error', {patterns: [{group: ['**/platform/*'], message: 'The product takes a PlatformAdapter as an argument.'}]}],
	},
};

// platform/ only converts names and formats. From the core it may import types, and the functions of src/core/ids that brand ids.
const platform = {
	files: ['platform/**/*.ts'],
	rules: {
		'@typescript-eslint/no-restricted-imports': ['error', {
			patterns: [{group: ['**/src/core/*.ts', '**/src/core/*/*.ts', '!**/src/core/ids/*.ts'], allowTypeImports: true, message: 'The platform adapter makes no decisions.'}],
		}],
	},
};

const isolatedTests = {
	files: ['test/isolated/**/*.ts'],
	rules: {
		// The rule reads ava.config.js only; these are run with isolated.config.js.
		'ava/no-ignored-test-files': ['error', {files: ['test/isolated/**/*.test.ts']}],
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
			// Behaviour is written as classes that implement interfaces (house style), so some methods use no instance state.
			'class-methods-use-this': 'off',
			// Property names of messages, result codes and headers are given by the wire format.
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
	isolatedTests,
];

export default config;
