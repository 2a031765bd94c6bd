import type {ControlCodec} from './control-codec.ts';
import type {RequestCodec} from './request-codec.ts';

/**
 * Adapter to one platform: the names and formats in which that platform writes requests (`requests`) and control
 * calls (`control`). It only converts and makes no decisions.
 */
export type PlatformAdapter = {readonly requests: RequestCodec; readonly control: ControlCodec};
