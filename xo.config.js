const oneExport = {
	selector: 'Program > ExportNamedDeclaration ~ ExportNamedDeclaration',
	message: 'One export a file.',
};

/** Ids that clients choose: state that is kept by them has to be counted. */
const clientIds = 'CallerKey|PromptPartId|RequestTrait';
const mutableCollection = ':matches(NewExpression[callee.name=/^(Map|Set)$/], TSTypeReference[typeName.name=/^(Map|Set)$/]) > TSTypeParameterInstantiation';
const countedState = {
	selector: `${mutableCollection} > TSTypeReference.params:first-child[typeName.name=/^(${clientIds})$/]`,
	message: 'State that is kept by ids that clients choose belongs in a CountedMap, with a budget of StateMemory.',
};
const namedKeys = {
	selector: `${mutableCollection} > TSStringKeyword.params:first-child`,
	message: 'Say whose ids the keys are: use a branded id, and a CountedMap if clients choose them.',
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
			countedState,
			{selector: 'AwaitExpression', message: 'The core is synchronous.'},
		],
	},
};

const requestPaths = {
	files: ['src/core/edge/**/*.ts', 'src/core/control/**/*.ts', 'src/core/routes/**/*.ts'],
	rules: {
		'no-restricted-syntax': [...core.rules['no-restricted-syntax'], namedKeys],
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
	requestPaths,
	product,
	platform,
	isolatedTests,
];

export default config;
