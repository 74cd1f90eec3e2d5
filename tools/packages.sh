#!/bin/sh
# Installs the packages for building and testing that are missing.
set -eu
PACKAGES="gcc make pkg-config libuv1-dev libh2o-dev libssl-dev libpopt-dev
liblog4c-dev libglib2.0-dev check libtirpc-dev libjson-c-dev libxxhash-dev zlib1g-dev
python3 spin clang-format clang-tidy gnuplot-nox"
missing=""
for package in $PACKAGES; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
if [ "$(id -u)" != 0 ]; then
	echo "packages missing; run as root: apt-get install$missing" >&2
	exit 1
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
	--no-install-recommends $missing >/dev/null
