/** Holder of resources that are released by `dispose`. Disposing twice has no further effect. */
export interface Disposable {
	dispose(): void;
}
