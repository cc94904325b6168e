#!/usr/bin/env bash
# Builds the stand-ins of the cases. The gateway itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/1/bin/reviewstand ./review/1/_standin
