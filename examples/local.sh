#!/usr/bin/env bash
# Starts a whole deployment of examples/ on loopback and waits; Ctrl-C ends it.
# usage: examples/local.sh league|kallioniemi [FOLDER]   (build first: cargo build --release)
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
program="$here/../target/release/hatchrudder"
name=$1
folder=${2:-$(mktemp -d)}
mkdir -p "$folder"
cd "$folder"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
start() { "$@" >>"log" 2>&1 & pids+=($!); }
# Every endpoint of objects.toml: its address, and whether it is an engine or a service.
while read -r address kind; do
    if [ "$kind" = service ]; then start "$program" stand-in --listen "$address" --service
    else start "$program" stand-in --listen "$address"; fi
done < <(awk -F'"' '/^address/ {a=$2} /^kind = / {print a, $2}' "$here/$name/objects.toml")
for settings in "$here/$name"/*-[0-9].toml; do start "$program" run --settings "$settings"; done
entry=$(awk -F'"' '/^address/ {print $2; exit}' "$here/$name"/*-1.toml)
until "$program" apply "$here/$name/objects.toml" --entry "$entry" --key change-this-operator-key >/dev/null 2>&1; do sleep 0.5; done
echo "running in $folder: entry http://$entry, pids ${pids[*]}"
wait
