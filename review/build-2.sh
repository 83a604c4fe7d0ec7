#!/usr/bin/env bash
# Builds what the scripts of this review start: the project's program, as the deploy file has it, and
# the stand-ins in review/standin-2. Build output goes below target/.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked -p platform
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
