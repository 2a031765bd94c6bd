/** Services of the soak; only probes use `press`. */
export type SoakService = 'desk' | 'writers' | 'press';
