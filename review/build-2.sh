#!/usr/bin/env bash
# Builds the stand-ins and the case programs of the second review into target/review-2. Build the service first, as
# deploy/service.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8
