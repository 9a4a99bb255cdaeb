#!/usr/bin/env bash
# Builds the stand-ins of the cases, into target/review. The daemon is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin -B target/review
cmake --build target/review -j8
