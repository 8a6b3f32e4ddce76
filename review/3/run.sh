#!/usr/bin/env bash
# A replica fails streams that may not be resumed, after it has begun to work.
# With TROUBLE=0 it plays the same without the disruption.
. "$(dirname "$0")/../common.sh"
play grey "${TROUBLE:-1}"
