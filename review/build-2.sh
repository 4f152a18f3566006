#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They use the standard library
# only. The programs under review come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in review/standins-2/*.rs; do
    name=$(basename "$name" .rs)
    [ "$name" = sim ] && continue
    rustc -O --edition 2024 -A dead_code -o "target/review-2/$name" "review/standins-2/$name.rs"
done
