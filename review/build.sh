#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start, into review/target. It needs Go
# alone: the stand-in uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
export GOTOOLCHAIN=local GOFLAGS=-mod=readonly GOWORK=off CGO_ENABLED=0
go build -trimpath -o ../target/standin .
