/** What marks the end of an answer's body. */
export const answerFraming = {
	/** The number of bytes that the head states. */
	length: 'length',
	/** The last chunk. */
	chunked: 'chunked',
	/** The close of the connection. */
	close: 'close',
} as const;
export type AnswerFraming = typeof answerFraming[keyof typeof answerFraming];
