#!/usr/bin/env bash
# Builds the stand-ins of all cases: the platform's store, the upstreams and the clients are
# one program. The node itself is built with the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
