/** Share of the window over which refusals are counted, and for which the lot of an organisation over its quota plans ahead: a second of eight. */
export const refusalShare = 0.125;
