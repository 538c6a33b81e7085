#!/bin/bash
# Requests with a part that crashes engines come several at a time.
exec "$(dirname "$0")/../run-case-2.sh" review/7 DeadlyBursts
