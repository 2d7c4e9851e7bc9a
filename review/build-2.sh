#!/bin/sh
# Builds what the scripts of the second review start besides the build of the deploy file: the
# project's stand-in of the store, and the stand-ins in standin-2.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p knapweed-platform --bin knapweed-fake-platform
cargo build --release --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
