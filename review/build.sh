#!/usr/bin/env bash
# Checks and compiles the stand-ins of the scripts; they need Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile harness.py [0-9]*/case.py
