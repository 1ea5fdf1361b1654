#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The programs of the deploy file
# are built before by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
