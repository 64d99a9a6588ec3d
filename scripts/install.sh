#!/usr/bin/env bash
# Installs missing build tools and libraries (Debian).
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy-16 git curl jq
  libboost-dev nlohmann-json3-dev libfmt-dev libpopt-dev libsodium-dev
  libxxhash-dev libpcg-cpp-dev librapidcheck-dev libgtest-dev libgmock-dev
  libbenchmark-dev libspdlog-dev bsdextrautils
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" >&2
