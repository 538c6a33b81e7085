#!/bin/bash
# Routers are told shortly after a start that their settings have changed.
exec "$(dirname "$0")/../run-case-2.sh" review/9 HangupAtStart
