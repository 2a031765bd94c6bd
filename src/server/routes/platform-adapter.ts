import type {ControlCodec} from './control-codec.ts';
import type {RequestCodec} from './request-codec.ts';

/** The formats of one platform. */
export type PlatformAdapter = {readonly requests: RequestCodec; readonly control: ControlCodec};
