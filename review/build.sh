#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOFLAGS=-buildvcs=false GOTOOLCHAIN=local GOWORK=off go build -o ../bin/ ./again ./burst ./longer ./split
