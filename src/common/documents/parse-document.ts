import {isNode, LineCounter, parseDocument as parseYaml} from 'yaml';
import {DocumentError} from './document-error.js';
import {formatPath} from './format-path.js';
import {serviceDocumentSchema, type ServiceDocument} from './service-document.js';

/** Returns the line of a field, from 1; that of the field around it if it is absent. */
export type LineOf = (path: readonly PropertyKey[]) => number | undefined;

/**
Validates a JSON value as a service document and fills in the defaults.

@throws DocumentError listing every problem with its path.
*/
export function checkDocument(value: unknown, lineOf?: LineOf): ServiceDocument {
	const result = serviceDocumentSchema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	throw new DocumentError(result.error.issues.map(({path, message}) => ({path: formatPath(path), message, ...(lineOf && {line: lineOf(path)})})));
}

/**
Parses a service document from YAML or JSON text.

@throws DocumentError when the text is malformed or the document violates a rule.
*/
export function parseDocument(text: string): ServiceDocument {
	return parseDocumentWithLines(text).document;
}

/**
Parses a service document, and finds the lines of its fields.

@throws DocumentError when the text is malformed or the document violates a rule.
*/
export function parseDocumentWithLines(text: string): {document: ServiceDocument; lineOf: LineOf} {
	const lines = new LineCounter();
	const parsed = parseYaml(text, {prettyErrors: true, lineCounter: lines});
	const {errors} = parsed;
	if (errors.length > 0) {
		throw new DocumentError(errors.map(({message, linePos}) => ({path: '', message, ...(linePos && {line: linePos[0].line})})), {cause: errors[0]});
	}

	const lineOf: LineOf = path => {
		for (let {length} = path; length >= 0; length--) {
			const node = length === 0 ? parsed.contents : parsed.getIn(path.slice(0, length), true);
			if (isNode(node) && node.range) {
				return lines.linePos(node.range[0]).line;
			}
		}

		return undefined;
	};

	return {document: checkDocument(parsed.toJS(), lineOf), lineOf};
}
