#!/usr/bin/env bash
# Verifies the specifications, and that the checker detects each fault that MUTATE_* injects.
set -euo pipefail
cd "$(dirname "$0")"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# verify FILE WANT DEFINES... : runs the checker on FILE and fails unless the result is WANT
# (holds or fails).
verify() {
  local file="$1" want="$2" dir
  shift 2
  dir="$(mktemp -d -p "$work")"
  cp "$file" "$dir/model.pml"
  (cd "$dir" && spin -a "$@" model.pml >/dev/null && cc -O2 -DSAFETY -DVECTORSZ=2048 -DMEMLIM=3000 -o pan pan.c 2>/dev/null)
  (cd "$dir" && ./pan -E -m1000000 >out.txt 2>&1) || true
  local errors states
  errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/out.txt")"
  states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/out.txt")"
  if grep -qE 'max search depth too small|MEMLIM|memory limit|out of memory|timeout' "$dir/out.txt"; then
    echo "not complete: $file $*"
    exit 1
  fi
  # An incomplete search is only conclusive if it found an error.
  if [ "${errors:-0}" = 0 ] && grep -q 'Search not completed' "$dir/out.txt"; then
    echo "not complete: $file $*"
    exit 1
  fi
  local got=holds
  [ "${errors:-1}" = 0 ] || got=fails
  echo "$file ${*:-as it is}: $got, $states states (wanted: $want)"
  [ "$got" = "$want" ] || { tail -20 "$dir/out.txt"; exit 1; }
}

verify consensus.pml holds -DMAXTERM=2 -DMAXLOG=2
verify consensus.pml fails -DMAXTERM=2 -DMAXLOG=2 -DMUTATE_TWO_VOTES
verify consensus.pml fails -DMAXTERM=2 -DMAXLOG=2 -DMUTATE_NO_LOG_CHECK
verify consensus.pml fails -DMAXTERM=2 -DMAXLOG=2 -DMUTATE_EMPTY_VOTES
verify consensus.pml holds -DMAXTERM=4 -DMAXLOG=1
verify consensus.pml fails -DMAXTERM=4 -DMAXLOG=1 -DMUTATE_COMMIT_OLD_TERM
verify lease.pml holds
verify lease.pml fails -DMUTATE_SHORT_WAIT
verify lease.pml fails -DMUTATE_SAME_RENEWAL
verify lease.pml fails -DMUTATE_NO_COMPARE
verify lease.pml fails -DMUTATE_NO_CHECK
verify progress.pml holds
verify progress.pml fails -DMUTATE_UNORDERED
verify progress.pml fails -DMUTATE_NOT_SETTLED
verify progress.pml fails -DMUTATE_GOES_ON
