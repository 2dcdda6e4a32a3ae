#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. It needs the build of the deploy file for nothing, and
# no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin-3 .
