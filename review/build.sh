#!/usr/bin/env bash
# Builds the program that plays the scripts of the review, with its stand-ins. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/harness .
