#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 and 9 start. The build of the deploy
# file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin2
