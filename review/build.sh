#!/bin/sh
# Builds the stand-ins of the review. They use the standard library alone.
set -eu
cd "$(dirname "$0")/standins"
go build -o ../bin/standins .
