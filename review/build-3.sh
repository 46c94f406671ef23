#!/bin/sh
# Builds the stand-ins and scripts of this review, after the line `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/standins-3/*.java
