#!/bin/bash
# TROUBLE=0 runs the case without the disruption. run-case.sh sets the traps that end all processes on every way out.
case_folder=$(dirname "$0")
. "$case_folder/../run-case.sh" "$case_folder" AllEnginesCrash
