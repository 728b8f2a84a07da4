import {type ReleaseObserver} from './release-observer.js';

/** Observer of attempts that are no evidence on a release. */
export const nullReleaseObserver: ReleaseObserver = {
	recordSent: () => undefined, recordAnswer: () => undefined, recordBroken: () => undefined, recordHeadTime: () => undefined, recordPace: () => undefined,
};
