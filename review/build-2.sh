#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 and up start. Needs no network.
set -eu
cd "$(dirname "$0")/standin2"
cargo build --release --locked --offline --target-dir target
