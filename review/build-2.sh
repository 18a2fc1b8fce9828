#!/usr/bin/env bash
# Builds the programs of cases 6 to 10 into target/review-2/, after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
shared=(socket_io store record upstream daemon deployment)
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
for name in "${shared[@]}"; do
  g++ "${flags[@]}" -c "review/standins-2/$name.cc" \
    -o "target/review-2/$name.o" &
  jobs_started+=($!)
done
for job in "${jobs_started[@]}"; do wait "$job"; done
jobs_started=()
objects=()
for name in "${shared[@]}"; do objects+=("target/review-2/$name.o"); done
for name in late_copy kept_connections transfer_coding planned_stop \
            connection_options; do
  g++ "${flags[@]}" "review/standins-2/$name.cc" \
    "${objects[@]}" -o "target/review-2/$name" \
    -lboost_json &
  jobs_started+=($!)
done
for job in "${jobs_started[@]}"; do wait "$job"; done
# The stand-ins of 6/owner are Python files.
if command -v python3 >/dev/null; then
  for file in review/standins/deployment.py review/5/case.py \
              review/6/owner/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file"
  done
fi
