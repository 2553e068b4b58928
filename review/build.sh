#!/usr/bin/env bash
# Builds the stand-ins of the cases into build/review. They need the packages of deploy/service.toml alone.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B ../build/review -DCMAKE_BUILD_TYPE=Release
cmake --build ../build/review -j"$(nproc)"
