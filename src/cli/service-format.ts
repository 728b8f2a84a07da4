import {DocumentError} from '../common/documents/document-error.js';
import {documentFindings} from '../common/documents/document-findings.js';
import {formatPath} from '../common/documents/format-path.js';
import {parseDocumentWithLines} from '../common/documents/parse-document.js';
import {type ServiceDocument} from '../common/documents/service-document.js';
import {type CheckedFormat} from './checked-format.js';

/** Service documents, as they are submitted to daemons. */
export const serviceFormat: CheckedFormat = {
	matches: () => true,
	check(text) {
		try {
			const {document, lineOf} = parseDocumentWithLines(text);
			return {
				title: `the document of ${document.service}`,
				value: document,
				errors: [],
				warnings: documentFindings(document).map(({path, message}) => ({path: formatPath(path), message, line: lineOf(path)})),
			};
		} catch (error) {
			if (error instanceof DocumentError) {
				return {
					title: 'the document', value: undefined, errors: error.issues, warnings: [],
				};
			}

			throw error;
		}
	},
	async readInForce(ctx, value) {
		const record = await ctx.client.find<{document: ServiceDocument}>(`documents/${(value as ServiceDocument).service}`);
		return record?.document;
	},
};
