#!/usr/bin/env bash
# One replica after the other resets connections of bookings with long bodies.
. "$(dirname "$0")/../common.sh"
play twice
