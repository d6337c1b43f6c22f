#!/usr/bin/env bash
# Installs the Debian packages named in packages.txt; does nothing where all are there.
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
mapfile -t packages < <(grep -v '^#' "$here/packages.txt")
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
