import base from './ava.config.js';

/** Tests that measure memory and descriptors of processes: one at a time, beside no others. */
const config = {
	...base,
	files: ['test/isolated/**/*.test.ts'],
	concurrency: 1,
	serial: true,
};

export default config;
