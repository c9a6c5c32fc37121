#!/usr/bin/env bash
# Measures the processor time, memory and control traffic of an idle entry and
# agent as the number of agents and entries grows, and prints a table for
# docs/CAPACITY.md. Uses loopback ports from 21000 and at most about a hundred
# processes. The argument is the time in seconds to measure for each row.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
entry=Build/Services/Entry/vanillaworks-entry
agent=Build/Services/Agent/vanillaworks-agent
standins=Build/Tests/StandIns/vanillaworks-standins
ticks_per_second=$(getconf CLK_TCK)

cpu_ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb_of() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
sum_metric() { # address, name prefix: sum of all values whose names begin with it
  curl -s "http://$1/metrics" | awk -v n="$2" \
    'index($1, n) == 1 {s += $2} END {printf "%.0f", s}'
}

measure() { # entries, agents
  local entries=$1 agents=$2 folder i
  local pids=() entry_pids=() agent_pids=() entry_addresses=""
  folder=$(mktemp -d)
  $standins --role=table --listen=127.0.0.1:21000 &
  pids+=($!)
  for i in $(seq "$entries"); do
    entry_addresses+="${entry_addresses:+,}\"127.0.0.1:$((21100 + i))\""
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
      \"entries\":[$entry_addresses]}" > "$folder/u$i.json"
    $agent --settings "$folder/u$i.json" 2> /dev/null &
    agent_pids+=($!)
  done
  sleep 8
  local entry_pid=${entry_pids[0]} agent_pid=${agent_pids[0]}
  local entry_cpu agent_cpu entry_bytes agent_bytes entry_frames
  entry_cpu=$(cpu_ticks_of "$entry_pid") agent_cpu=$(cpu_ticks_of "$agent_pid")
  entry_bytes=$(sum_metric 127.0.0.1:21201 vanillaworks_bytes_)
  entry_frames=$(sum_metric 127.0.0.1:21201 vanillaworks_frames_)
  agent_bytes=$(sum_metric 127.0.0.1:22001 vanillaworks_bytes_)
  local reads writes
  reads=$(curl -s http://127.0.0.1:21000/stats | sed 's/.*"reads":\([0-9]*\).*/\1/')
  writes=$(curl -s http://127.0.0.1:21000/stats | sed 's/.*"writes":\([0-9]*\).*/\1/')
  sleep "$seconds"
  local row
  row=$(awk -v seconds="$seconds" -v ticks="$ticks_per_second" \
    -v entry_cpu="$(($(cpu_ticks_of "$entry_pid") - entry_cpu))" \
    -v agent_cpu="$(($(cpu_ticks_of "$agent_pid") - agent_cpu))" \
    -v entry_bytes="$(($(sum_metric 127.0.0.1:21201 vanillaworks_bytes_) - entry_bytes))" \
    -v entry_frames="$(($(sum_metric 127.0.0.1:21201 vanillaworks_frames_) - entry_frames))" \
    -v agent_bytes="$(($(sum_metric 127.0.0.1:22001 vanillaworks_bytes_) - agent_bytes))" \
    -v table_reads="$(($(curl -s http://127.0.0.1:21000/stats | sed 's/.*"reads":\([0-9]*\).*/\1/') - reads))" \
    -v table_writes="$(($(curl -s http://127.0.0.1:21000/stats | sed 's/.*"writes":\([0-9]*\).*/\1/') - writes))" \
    -v entry_memory="$(resident_kb_of "$entry_pid")" \
    -v agent_memory="$(resident_kb_of "$agent_pid")" \
    -v entry_count="$entries" -v agent_count="$agents" 'BEGIN {
      printf "| %d | %d | %.2f | %.1f | %.1f | %.0f | %.2f | %.1f | %.0f | %.1f | %.1f |",
        entry_count, agent_count,
        100 * entry_cpu / ticks / seconds, entry_memory / 1024,
        entry_frames / seconds, entry_bytes / seconds,
        100 * agent_cpu / ticks / seconds, agent_memory / 1024,
        agent_bytes / seconds, table_reads / seconds, table_writes / seconds }')
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
