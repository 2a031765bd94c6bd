/** Messages of the membership part between processes. */
export type MembershipMessage = {readonly type: 'none'};
