import {spawnSync} from 'node:child_process';
import process from 'node:process';

/** Runs of AVA, one after the other: the isolated tests run beside no others. */
const configurations = ['ava.config.js', 'isolated.config.js'];

// Runs all tests. Arguments are passed to AVA.
const codes = configurations.map(configuration => {
	const {status} = spawnSync('ava', ['--config', configuration, ...process.argv.slice(2)], {stdio: 'inherit'});
	return status ?? 1;
});
process.exitCode = codes.find(code => code !== 0) ?? 0;
