#!/usr/bin/env bash
# Checks that a clean build needs only the `packages` of deploy/system.toml and the Rust toolchain. Runs the `build`
# command of deploy/system.toml in a fresh clone, with an empty cargo home and a PATH that has only the toolchain and
# the programs of the listed packages and their dependencies. Requires a Debian system. Not part of CI, because the
# build starts from scratch and takes minutes.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
sysroot=$(rustc --print sysroot)
cargo_home=${CARGO_HOME:-$HOME/.cargo}

packages=$(sed -nE 's/^packages *= *\[(.*)\]/\1/p' "$root/deploy/system.toml" | tr -d '",')
[ -n "$packages" ] || { echo "deploy/system.toml lists no packages"; exit 1; }

# The listed packages and, recursively, their dependencies.
declare -A installed=()
add_package() {
    [ -z "${installed[$1]:-}" ] || return 0
    installed[$1]=1
    local depends
    depends=$(dpkg-query -W -f='${Depends}, ${Pre-Depends}' "$1" 2>/dev/null) || return 0
    local dependency
    for dependency in $(tr ',' '\n' <<<"$depends" | sed -E 's/\|.*//; s/\(.*//; s/:.*//' | tr -d ' '); do
        add_package "$dependency"
    done
}
for package in $packages; do
    dpkg-query -W "$package" >/dev/null || { echo "$package is not installed"; exit 1; }
    add_package "$package"
done

mkdir "$work/bin" "$work/cargo-home"
for package in "${!installed[@]}"; do
    for program in $(dpkg-query -L "$package" 2>/dev/null | grep -E '^/(usr/)?bin/[^/]+$' || true); do
        ln -sf "$program" "$work/bin/$(basename "$program")"
    done
done
# `cc` is an alternative that the installation of the compiler's package sets up, not a file of the package.
ln -sf "$(command -v gcc)" "$work/bin/cc"
ln -sf "$sysroot/bin/cargo" "$work/bin/cargo"
ln -sf "$sysroot/bin/rustc" "$work/bin/rustc"
# Copies the configuration of the registry, if there is one, but no downloaded crates.
[ ! -f "$cargo_home/config.toml" ] || cp "$cargo_home/config.toml" "$work/cargo-home/"

git clone --quiet "$root" "$work/clone"
build=$(sed -nE 's/^build *= *"(.*)"/\1/p' "$root/deploy/system.toml")
cd "$work/clone"
start=$(date +%s)
env -i PATH="$work/bin" HOME="$work" CARGO_HOME="$work/cargo-home" /bin/sh -c "$build"
echo "built with: $packages; $(ls "$work/bin" | wc -l) programs on PATH; $(($(date +%s) - start)) s"
