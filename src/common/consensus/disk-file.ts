/** Open file of a `Disk`; `sync` makes its contents durable. */
export interface DiskFile {
	append(bytes: Uint8Array): Promise<void>;
	truncate(length: number): Promise<void>;
	sync(): Promise<void>;
	close(): Promise<void>;
}
