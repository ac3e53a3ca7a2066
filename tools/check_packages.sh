#!/usr/bin/env bash
# Proves that the `packages` of deploy/system.toml are all that a clean build needs beside the Rust toolchain:
# builds the deploy line in a fresh clone with an empty cargo home and a PATH that holds only the toolchain and
# the programs of the listed packages and of what they depend on. Needs a Debian system. Not part of CI: the
# build is cold and takes minutes.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
sysroot=$(rustc --print sysroot)
cargo_home=${CARGO_HOME:-$HOME/.cargo}

packages=$(sed -nE 's/^packages *= *\[(.*)\]/\1/p' "$root/deploy/system.toml" | tr -d '",')
[ -n "$packages" ] || { echo "deploy/system.toml lists no packages"; exit 1; }

# Each package with everything that its installation brings along.
declare -A taken=()
take() {
    [ -z "${taken[$1]:-}" ] || return 0
    taken[$1]=1
    local depends
    depends=$(dpkg-query -W -f='${Depends}, ${Pre-Depends}' "$1" 2>/dev/null) || return 0
    local next
    for next in $(tr ',' '\n' <<<"$depends" | sed -E 's/\|.*//; s/\(.*//; s/:.*//' | tr -d ' '); do
        take "$next"
    done
}
for package in $packages; do
    dpkg-query -W "$package" >/dev/null || { echo "$package is not installed here"; exit 1; }
    take "$package"
done

mkdir "$work/bin" "$work/cargo-home"
for package in "${!taken[@]}"; do
    for program in $(dpkg-query -L "$package" 2>/dev/null | grep -E '^/(usr/)?bin/[^/]+$' || true); do
        ln -sf "$program" "$work/bin/$(basename "$program")"
    done
done
# The alternative that the compiler's package sets up.
ln -sf "$(command -v gcc)" "$work/bin/cc"
ln -sf "$sysroot/bin/cargo" "$work/bin/cargo"
ln -sf "$sysroot/bin/rustc" "$work/bin/rustc"
# Where the registry is, if it is configured; nothing that was fetched.
[ ! -f "$cargo_home/config.toml" ] || cp "$cargo_home/config.toml" "$work/cargo-home/"

git clone --quiet "$root" "$work/clone"
build=$(sed -nE 's/^build *= *"(.*)"/\1/p' "$root/deploy/system.toml")
cd "$work/clone"
start=$(date +%s)
env -i PATH="$work/bin" HOME="$work" CARGO_HOME="$work/cargo-home" /bin/sh -c "$build"
echo "built with: $packages; $(ls "$work/bin" | wc -l) programs on PATH; $(($(date +%s) - start)) s"
