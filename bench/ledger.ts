// Measures the ledger: capacity of one group, bytes on the wire and in the log, added latency, and memory.
// Run: npx tsc -p tsconfig.json --outDir /tmp/ledger-build && node /tmp/ledger-build/bench/ledger.js
import {reportHttpCapacity} from './ledger/bench-capacity.js';
import {measureHttpOverhead} from './ledger/bench-http.js';
import {reportLatency, reportClientPath, reportWireBytes} from './ledger/bench-path.js';
import {
	reportFullState, reportLogBytes, reportMemory, reportStateMachine,
} from './ledger/bench-state.js';

await reportStateMachine();
await reportClientPath();
await reportHttpCapacity();
reportLogBytes();
await reportWireBytes(await measureHttpOverhead());
await reportLatency();
await reportMemory();
reportFullState();
