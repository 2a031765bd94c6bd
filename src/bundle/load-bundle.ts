import type {Buffer} from 'node:buffer';
import {createRequire} from 'node:module';
import path from 'node:path';
import {Script} from 'node:vm';

/** Module that the wrapper of a CommonJS bundle gets. */
type BundleModule = {exports: unknown};
type BundleWrapper = (bundleExports: unknown, requireModule: NodeJS.Require, bundleModule: BundleModule, file: string, folder: string) => void;

type LoadBundleOptions = {
	/** File that the bundle was read from. */
	readonly file: string;
	readonly source: string;
	/** V8's code cache of the same bundle; ignored by V8 if the source, V8 or its flags have changed since. */
	readonly cachedData?: Buffer;
};

type LoadedBundle = {
	readonly script: Script;
	/** Runs the bundle; each call gives it modules of its own. */
	readonly run: () => void;
};

/** Compiles a CommonJS bundle, from its code cache if there is one: compiling the whole bundle takes longer than all else at the start of a process. */
export function loadBundle({file, source, cachedData}: LoadBundleOptions): LoadedBundle {
	const wrapped = `(function (exports, require, module, __filename, __dirname) { ${source}\n})`;
	const script = new Script(wrapped, {filename: file, cachedData});
	const wrapper = script.runInThisContext() as BundleWrapper;
	return {
		script,
		run() {
			const bundleModule: BundleModule = {exports: {}};
			wrapper(bundleModule.exports, createRequire(file), bundleModule, file, path.dirname(file));
		},
	};
}
