/** Length of a minute bucket in milliseconds. */
export const minuteMs = 60_000;
/** Number of minutes kept: the longest window computed from minutes, 1 h, and its partial first minute. */
export const keepMinutes = 61;
/** Number of hours that an entry host and the leader keep until they are in the control log. */
export const keepHours = 6;
/** Maximum number of objectives of all services that an entry host counts separately in one minute. */
export const maxObjectives = 64;
/** Maximum number of subjects that an entry host counts separately in one hour; further ones lose version and customer. */
export const maxSubjects = 128;
/** Minimum interval in milliseconds between two reports of a host, which limits their bandwidth. */
export const reportIntervalMs = 5000;
