const writersByZone = {'muscat-a': 6, 'sohar-a': 4, 'salalah-a': 3};

/** Engines as on the sheet of Bustan, all of which run requests with `run`. */
export function smallEngines(run) {
	return Object.entries(writersByZone).flatMap(([zone, count]) => [
		...Array.from({length: count}, () => ({
			service: 'writers', zone, slots: 64, run,
		})),
		{
			service: 'desk', zone, slots: 6, run,
		},
	]);
}
