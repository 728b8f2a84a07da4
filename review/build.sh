#!/bin/sh
# Builds the stand-ins of the cases. They are plain scripts of Node.js without packages, so that checking their syntax is all there is to do.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
