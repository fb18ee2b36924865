#!/bin/sh
# The stand-ins of cases 4 to 8 are scripts for Python 3 that need its standard library only.
# This reads each of them, so that a missing interpreter or a broken file shows here.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [4-8]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done

# Those of case 7 are a program that uses the standard library alone.
cargo build --release --offline --quiet --manifest-path standins-3/Cargo.toml --target-dir ../target/review-3
