/** Service document of the quickstart in YAML. */
export function quickstartDocument(keySha256: string): string {
	return `service: summaries
customers:
  - name: coralvent
    keySha256: ${keySha256}
versions: [small@1, large@1]
quality: {target: 0.85, confidence: 0.9}
sessions: {sticky: true}
urgency: normal
`;
}
