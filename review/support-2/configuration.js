const common = {
	host: 'ficu95.example', 'target-latency-ms': 1200, 'sticky-sessions': false, 'home-regions': [],
};

/** A configuration like that of the small sites: streams that may be resumed, orders that run once at most, and lookups. */
export function configuration(version, changes = {}) {
	return {
		version,
		routes: [
			{
				...common, name: 'drafts', 'path-prefix': '/lohu930/', kind: 'streaming', 'timeout-ms': 12_000, priority: 1, service: 'writers', attempts: 2, 'sticky-sessions': true, resumable: true, 'target-gap-ms': 600,
			},
			{
				...common, name: 'orders', 'path-prefix': '/pule252/', kind: 'unsafe', 'timeout-ms': 3000, 'target-latency-ms': 321, priority: 2, service: 'desk', attempts: 1,
			},
			{
				...common, name: 'lookups', 'path-prefix': '/rapu33/', kind: 'safe', 'timeout-ms': 3000, 'target-latency-ms': 321, priority: 2, service: 'desk', attempts: 2,
			},
		],
		services: [
			{
				name: 'writers',
				'health-path': '/health',
				'connection-limit': 360,
				protocol: 'h1',
				tls: false,
				'cold-start-s': 3,
				'cold-per-s': 2.4,
				engine: {
					slots: 64,
					'kv-cache-tokens': 425_000,
					'kv-token-bytes': 18_432,
					'link-mbps': 550_000,
					moves: true,
					backups: true,
					stride: 8,
					most: 12,
					'pin-ms': 4000,
					'hold-ms': 2000,
					models: [{name: 'm'}],
				},
			},
			{
				name: 'desk', 'health-path': '/health', 'connection-limit': 100, protocol: 'h1', tls: false, 'cold-start-s': 0, 'cold-per-s': 0,
			},
		],
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
		...changes,
	};
}
