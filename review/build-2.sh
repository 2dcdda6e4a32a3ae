#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They need no modules but the
# standard library.
set -eu
cd "$(dirname "$0")/tools-2"
GOFLAGS= GOPROXY=off go build -buildvcs=false -o bin/review2 .
