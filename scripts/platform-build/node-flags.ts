/** Flags of Node with which `deploy/system.toml` starts the processes. */
export const nodeFlags = ['--max-old-space-size=192'] as const;
