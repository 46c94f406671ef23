#!/bin/sh
# Builds the stand-ins of the cases. The deploy file's build comes first; nothing else is needed than the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standins/*.java
