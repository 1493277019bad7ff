#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15 with the project's own stand-ins; the program of the deploy file is built by its own line.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
GOWORK="$PWD/review/harness-3/go.work" go build -o target/review-3/ ./review/harness-3/...
