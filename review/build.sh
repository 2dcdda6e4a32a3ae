#!/bin/sh
# Builds the stand-ins of the scripts. It needs no modules but the standard library.
set -eu
cd "$(dirname "$0")/tools"
mkdir -p ../../target
GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review-standin .
