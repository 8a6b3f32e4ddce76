#!/usr/bin/env bash
# One replica after the other resets connections of bookings with long bodies.
# With TROUBLE=0 it plays the same without the disruption.
. "$(dirname "$0")/../common.sh"
play twice "${TROUBLE:-1}"
