import process from 'node:process';
import {build} from 'esbuild';

const output = 'target/lovageferry.cjs';

/** Builds the bundle for the platform: the product with the platform's formats. */
await build({
	entryPoints: ['platform/main.ts'],
	outfile: output,
	bundle: true,
	minifySyntax: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	logLevel: 'warning',
});
process.stdout.write(`${output}\n`);
