#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out; the program that run-case.sh starts reads it from the environment.
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../standins-2/run-case.sh" "$(dirname "$0")" survivor
