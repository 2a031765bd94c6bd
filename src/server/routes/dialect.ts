import type {ControlDialect} from './control-dialect.ts';
import type {RequestDialect} from './request-dialect.ts';

/** The formats of one platform. */
export type Dialect = {readonly requests: RequestDialect; readonly control: ControlDialect};
