#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -trimpath -o ../../target/review-2/standin2 .
