import type {Brand} from './brand.ts';

/** Version of a target's software, not of its model's weights. Versions have no order; empty if the target reports none. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
