#!/bin/sh
# Builds the stand-ins of the review; needs no network once the project's own crates are fetched.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --offline
