import os from 'node:os';

/** Test files that run at a time: half of the processors, since some of them start processes of their own. */
const concurrency = Math.max(1, Math.floor(os.availableParallelism() / 2));

const config = {
	files: ['test/**/*.test.ts', '!test/isolated/**'],
	extensions: {ts: 'module'},
	nodeArguments: ['--import=tsx'],
	workerThreads: false,
	timeout: '2m',
	concurrency,
};

export default config;
