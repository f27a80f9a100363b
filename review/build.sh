#!/bin/sh
# Builds the stand-ins of the review's scripts. They have no dependencies.
set -e
cd "$(dirname "$0")/standin"
exec cargo build --release --locked --offline
