#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The program under review is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
