#!/usr/bin/env bash
# Case 1, see claim.txt. TROUBLE=0: the same without the disruption.
exec bash "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" case1
