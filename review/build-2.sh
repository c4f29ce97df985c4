#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard library
# and the package lab of the earlier review.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../bin
GOFLAGS=-buildvcs=false GOTOOLCHAIN=local GOWORK=off GOPROXY=off go build -o ../bin/ ./late ./spoiled ./window
