#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. The nodes are built by
# the command of the deploy file.
set -e
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../target/standin-3 .
