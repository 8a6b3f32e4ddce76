#!/usr/bin/env bash
# A replica fails streams that may not be resumed, after it has begun to work.
. "$(dirname "$0")/../common.sh"
play grey
