#!/bin/sh
# Builds the stand-ins of the second review. They need no module but the standard library.
set -e
cd "$(dirname "$0")/standins2"
mkdir -p bin
GOWORK=off go build -o bin/standins2 .
