#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. The nodes are built by
# the command of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS= go build -o ../../target/standin-2 .
