#!/usr/bin/env bash
# A part of a prompt crashes each replica that begins to answer a request with it.
# With TROUBLE=0 it plays the same without the disruption.
. "$(dirname "$0")/../common.sh"
play part "${TROUBLE:-1}"
