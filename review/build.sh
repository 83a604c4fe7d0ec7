#!/usr/bin/env bash
# Builds each stand-in that the cases start. Needs no network: the package uses the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --quiet --release --offline --locked \
  --manifest-path review/standin/Cargo.toml --target-dir target/review
