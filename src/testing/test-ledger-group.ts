import {type LedgerState} from '../common/ledger/ledger-state.js';
import {type TestDirectory} from './ledger-fixture.js';
import {type LedgerObserver} from './ledger-observer.js';
import {type ManualClock} from './manual-clock.js';
import {type MemoryNetwork} from './memory-network.js';

/** One ledger group of several voters, on which a `LedgerSimulation` runs. */
export interface TestLedgerGroup {
	readonly voters: readonly string[];
	readonly clock: ManualClock;
	readonly network: MemoryNetwork;
	readonly directory: TestDirectory;
	readonly observer: LedgerObserver;
	/** States of the running voters. */
	readonly states: ReadonlyMap<string, LedgerState>;
	/** Starts voters that are down and makes sure that there is a leader. */
	recover(): Promise<void>;
}
