/** A model and its version, written `model@version`. */
export type VersionRef = string;

/** Formats a version reference. */
export function versionRef(model: string, version: string): VersionRef {
	return `${model}@${version}`;
}

/** Returns the model of a version reference. */
export function modelOf(ref: VersionRef): string {
	return ref.slice(0, ref.lastIndexOf('@'));
}
