/** Messages of the orders part between processes. */
export type OrdersMessage = {readonly type: 'none'};
