#!/bin/sh
# Builds the stand-ins of the second review's cases. Only the tool chain of the deploy file's build is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig2/main.rs
