/** Share of the newest part of the window over which the recent rate of use is measured: a quarter of a second where the window has eight seconds. */
export const recentPart = 1;
