#!/usr/bin/env bash
# Installs what the build, the checks and the tests need on Debian 12.
set -euo pipefail
packages=(g++ clang clang-format clang-tidy libclang-rt-14-dev cmake ninja-build
  ccache pkg-config python3 libnghttp2-dev libcpp-httplib-dev libcli11-dev
  libspdlog-dev libcppunit-dev libboost1.81-dev libprotobuf-dev
  nlohmann-json3-dev libxxhash-dev librapidcheck-dev libssl-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  sudo=()
  [ "$(id -u)" = 0 ] || sudo=(sudo)
  "${sudo[@]}" apt-get update -q
  "${sudo[@]}" apt-get install -y -q "${missing[@]}"
fi
