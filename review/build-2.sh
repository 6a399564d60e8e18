#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. They use the standard library alone,
# so no package and no network is needed.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in back_again revoked_key roll_out taken_away; do
    rustc --edition 2024 -O -o "target/review-2/$program" "review/standins-2/$program.rs"
done
