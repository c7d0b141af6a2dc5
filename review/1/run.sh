#!/usr/bin/env bash
# Runs this case; see claim.txt. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../launch.sh" "$here"
