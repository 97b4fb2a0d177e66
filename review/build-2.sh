#!/bin/sh
# Builds the stand-ins of the cases review/4 to review/8. The build of the deploy file builds the program itself.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
