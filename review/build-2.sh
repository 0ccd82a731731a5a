#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2. They need no library and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-2/standin-2 .
