#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The build of the deploy file comes
# first: it makes the libraries in target/ that they are linked with.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() {
  g++ -std=c++20 -O1 -Iinclude -Isrc -Itest -Ireview/stand-ins-2 \
    "review/stand-ins-2/$1.cc" -o "target/review-2/$1" \
    target/libfigwind-fleet.a target/libfigwind-decisions.a -lxxhash -lpthread
}
for source in review/stand-ins-2/*.cc; do
  build "$(basename "$source" .cc)" &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit $failed
