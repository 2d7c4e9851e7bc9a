#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts. Needs no network after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p knapweed-platform --bin knapweed-fake-platform
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml
