#!/usr/bin/env bash
# Builds the stand-ins of the third review. The router itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p review/standins-3/target
javac --release 17 -Xlint:all -d review/standins-3/target review/standins-3/*.java
