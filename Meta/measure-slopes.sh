#!/usr/bin/env bash
# Measures what control costs an idle entry and agent as the number of agents
# and entries grows, and prints a table for docs/CAPACITY.md. Uses loopback
# ports from 21000 and at most about a hundred processes.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
entry=Build/Services/Entry/vanillaworks-entry
agent=Build/Services/Agent/vanillaworks-agent
standins=Build/Tests/StandIns/vanillaworks-standins
ticks=$(getconf CLK_TCK)

cpu_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }
memory_of() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
metric() { # address, name: the sum over labels
  curl -s "http://$1/metrics" | awk -v n="$2" \
    'index($1, n) == 1 {s += $2} END {printf "%.0f", s}'
}

measure() { # entries, agents
  local entries=$1 agents=$2 folder pids=() entry_pids=() agent_pids=() list="" i
  folder=$(mktemp -d)
  $standins --role=table --listen=127.0.0.1:21000 &
  pids+=($!)
  for i in $(seq "$entries"); do
    list+="${list:+,}\"127.0.0.1:$((21100 + i))\""
    echo "{\"entry\":\"e$i\",\"http_address\":\"127.0.0.1:$((21200 + i))\",
      \"link_address\":\"127.0.0.1:$((21100 + i))\",
      \"table_url\":\"http://127.0.0.1:21000\"}" > "$folder/e$i.json"
    $entry --settings "$folder/e$i.json" 2> /dev/null &
    entry_pids+=($!)
  done
  for i in $(seq "$agents"); do
    echo "{\"upstream\":\"u$i\",\"failure_domain\":\"d$((i % 3))\",
      \"kinds\":[\"k\"],\"slots\":8,\"connections\":64,
      \"upstream_url\":\"http://127.0.0.1:21999\",
      \"pages_address\":\"127.0.0.1:$((22000 + i))\",
      \"entries\":[$list]}" > "$folder/u$i.json"
    $agent --settings "$folder/u$i.json" 2> /dev/null &
    agent_pids+=($!)
  done
  sleep 8
  local e=${entry_pids[0]} a=${agent_pids[0]}
  local ec ac eb ab ef
  ec=$(cpu_of "$e") ac=$(cpu_of "$a")
  eb=$(metric 127.0.0.1:21201 vanillaworks_bytes_)
  ef=$(metric 127.0.0.1:21201 vanillaworks_frames_)
  ab=$(metric 127.0.0.1:22001 vanillaworks_bytes_)
  local reads writes
  reads=$(curl -s http://127.0.0.1:21000/stats | sed 's/.*"reads":\([0-9]*\).*/\1/')
  writes=$(curl -s http://127.0.0.1:21000/stats | sed 's/.*"writes":\([0-9]*\).*/\1/')
  sleep "$seconds"
  local row
  row=$(awk -v s="$seconds" -v t="$ticks" \
    -v ec="$(($(cpu_of "$e") - ec))" -v ac="$(($(cpu_of "$a") - ac))" \
    -v eb="$(($(metric 127.0.0.1:21201 vanillaworks_bytes_) - eb))" \
    -v ef="$(($(metric 127.0.0.1:21201 vanillaworks_frames_) - ef))" \
    -v ab="$(($(metric 127.0.0.1:22001 vanillaworks_bytes_) - ab))" \
    -v r="$(($(curl -s http://127.0.0.1:21000/stats | sed 's/.*"reads":\([0-9]*\).*/\1/') - reads))" \
    -v w="$(($(curl -s http://127.0.0.1:21000/stats | sed 's/.*"writes":\([0-9]*\).*/\1/') - writes))" \
    -v em="$(memory_of "$e")" -v am="$(memory_of "$a")" \
    -v ne="$entries" -v na="$agents" 'BEGIN {
      printf "| %d | %d | %.2f | %.1f | %.1f | %.0f | %.2f | %.1f | %.0f | %.1f | %.1f |", ne, na,
        100 * ec / t / s, em / 1024, ef / s, eb / s,
        100 * ac / t / s, am / 1024, ab / s, r / s, w / s }')
  echo "$row"
  kill "${entry_pids[@]}" "${agent_pids[@]}" "${pids[@]}" 2> /dev/null || true
  wait 2> /dev/null || true
  rm -rf "$folder"
}

echo "| entries | agents | entry core % | entry MB | entry frames/s | entry B/s | agent core % | agent MB | agent B/s | table reads/s | table writes/s |"
echo "|---|---|---|---|---|---|---|---|---|---|---|"
measure 2 10
measure 2 40
measure 2 80
measure 4 40
