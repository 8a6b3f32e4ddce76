#!/usr/bin/env bash
# The answers of a replica do not end.
. "$(dirname "$0")/../common.sh"
play endless
