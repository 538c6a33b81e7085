#!/bin/bash
# Builds the stand-ins of the review; the build command of the deploy file has to have run before.
set -eu
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
cp standins/wire.properties target/classes
javac -Xlint:all -Xlint:-serial -proc:none -cp ../platform/target/coltsfootquay-node.jar -d target/classes standins/*.java
