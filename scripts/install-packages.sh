#!/usr/bin/env bash
# Installs the declared Debian packages; does nothing when all are there.
set -euo pipefail
packages=(g++ cmake ninja-build make ccache clang-format clang-tidy python3 curl openssl
  libboost1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev
  libthrift-dev thrift-compiler libzstd-dev libeasyloggingpp-dev libcppunit-dev librapidcheck-dev
  liburcu-dev libssl-dev libedit-dev)

missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

echo "setup: installing ${missing[*]}"
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq "${missing[@]}" > /dev/null
