const config = {
	files: ['test/**/*.test.ts'],
	extensions: {ts: 'module'},
	nodeArguments: ['--import=tsx'],
	workerThreads: false,
	timeout: '2m',
	concurrency: 6,
};

export default config;
