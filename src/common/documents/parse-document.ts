import {parseDocument as parseYaml} from 'yaml';
import {DocumentError} from './document-error.js';
import {serviceDocumentSchema, type ServiceDocument} from './service-document.js';

/**
Validates a JSON value as a service document and fills in the defaults.

@throws DocumentError listing every problem with its path.
*/
export function checkDocument(value: unknown): ServiceDocument {
	const result = serviceDocumentSchema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	throw new DocumentError(result.error.issues.map(issue => ({path: formatPath(issue.path), message: issue.message})));
}

/**
Parses a service document from YAML or JSON text.

@throws DocumentError when the text is malformed or the document violates a rule.
*/
export function parseDocument(text: string): ServiceDocument {
	const parsed = parseYaml(text, {prettyErrors: true});
	const [error] = parsed.errors;
	if (error) {
		throw new DocumentError([{path: '', message: error.message}], {cause: error});
	}

	return checkDocument(parsed.toJS());
}

function formatPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const part of path) {
		text += typeof part === 'number' ? `[${part}]` : `${text && '.'}${String(part)}`;
	}

	return text;
}
