#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 with the compiler of the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/src-2/*.java
