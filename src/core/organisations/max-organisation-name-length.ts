/** Longest name of an organisation, in UTF-16 code units, in the settings tree and in routes documents. */
export const maxOrganisationNameLength = 200;
