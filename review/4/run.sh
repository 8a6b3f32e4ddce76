#!/usr/bin/env bash
# A replica crashes; streams are resumed shortly before the timeout of their route.
# With TROUBLE=0 it plays the same without the disruption.
. "$(dirname "$0")/../common.sh"
play resume "${TROUBLE:-1}"
