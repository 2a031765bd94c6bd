import {execFileSync} from 'node:child_process';
import {
	copyFileSync, chmodSync, mkdirSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

/** Sentinel by which Node detects that a blob was injected into its binary; a fixed value defined by Node. */
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const output = 'dist/lovageferry';

/** Builds the single executable: a CommonJS bundle injected into a copy of the running Node binary. */
mkdirSync('dist', {recursive: true});
await build({
	entryPoints: ['src/cli.ts'],
	outfile: 'dist/lovageferry.cjs',
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	logLevel: 'warning',
});
writeFileSync('dist/sea.json', JSON.stringify({
	main: 'dist/lovageferry.cjs', output: 'dist/lovageferry.blob', disableExperimentalSEAWarning: true,
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: 'ignore'});
copyFileSync(process.execPath, output);
chmodSync(output, 0o755);
execFileSync('node_modules/.bin/postject', [output, 'NODE_SEA_BLOB', 'dist/lovageferry.blob', '--sentinel-fuse', sentinelFuse], {stdio: 'ignore'});
process.stdout.write(`${output}\n`);
