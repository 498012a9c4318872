#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. The project itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/src/*.java
