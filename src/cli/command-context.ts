import {type CheckedFormat} from './checked-format.js';
import {type OperatorClient} from './operator-client.js';
import {type ResultPrinter} from './output.js';

/** Dependencies of the commands. */
export interface CommandContext {
	readonly client: OperatorClient;
	readonly printer: ResultPrinter;
	/** Formats of documents besides service documents. */
	readonly formats: readonly CheckedFormat[];
	/** Reads a file, or standard input for `-`. */
	readFile(name: string): Promise<string>;
	writeFile(name: string, text: string): Promise<void>;
	/** Waits for the given time in milliseconds. */
	wait(delayMs: number): Promise<void>;
	/** Generates a change id. */
	newChangeId(): string;
}
