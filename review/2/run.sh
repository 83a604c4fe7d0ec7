#!/usr/bin/env bash
# Case 2, see claim.txt. TROUBLE=0: the same without the disruptions; TROUBLE=crash: with the crashes alone.
exec bash "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" case2
