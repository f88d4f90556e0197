#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3
  libmsgpack-cxx-dev libboost-dev libmicrohttpd-dev libcurl4-openssl-dev libpopt-dev
  libgoogle-glog-dev libsodium-dev nlohmann-json3-dev catch2 libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update
  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
