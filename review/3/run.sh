#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 plays the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case.sh" late-order "$folder"
