/** Version of commands from which `change-routing` is applied. */
export const changeRoutingVersion = 2;
/** Version of commands from which `evacuate-zone`, `end-evacuation` and `servers-warm` are applied. */
export const evacuationVersion = 3;
/** Highest version of commands that the control state of this software applies. */
export const controlCommandVersion = evacuationVersion;
