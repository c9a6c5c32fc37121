#!/usr/bin/env bash
# Runs a small deployment on loopback: two entries, four upstreams in two failure
# domains with an agent each, and a stand-in for the platform's table. Called
# by Meta/vanillaworks.sh run. With --keep it runs until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."

keep_running=no
[ "${1:-}" = "--keep" ] && keep_running=yes
folder=$(mktemp -d)
entry=Build/Services/Entry/vanillaworks-entry
agent=Build/Services/Agent/vanillaworks-agent
standins=Build/Tests/StandIns/vanillaworks-standins
url=http://127.0.0.1:18080
entries=()
agents=()
helpers=()

clean_up() {
  local pid
  for pid in "${agents[@]}" "${entries[@]}" "${helpers[@]}"; do
    kill "$pid" 2> /dev/null || true
  done
  rm -rf "$folder"
}
trap clean_up EXIT

print_step() { printf '\n== %s\n' "$*"; }

print_step "starting the table, two entries, and four upstreams with an agent each"
$standins --role=table --listen=127.0.0.1:19080 &
helpers+=($!)
for i in 0 1; do
  cat > "$folder/entry-$i.json" << SETTINGS
{ "entry": "entry-$i", "http_address": "127.0.0.1:1808$i",
  "link_address": "127.0.0.1:1708$i", "table_url": "http://127.0.0.1:19080" }
SETTINGS
  $entry --settings "$folder/entry-$i.json" 2> "$folder/entry-$i.log" &
  entries+=($!)
done
domains=(pier-end promenade)
for i in 0 1 2 3; do
  $standins --role=upstream --listen=127.0.0.1:1608$i &
  helpers+=($!)
  cat > "$folder/agent-$i.json" << SETTINGS
{ "upstream": "runner-$i", "failure_domain": "${domains[$((i % 2))]}",
  "kinds": ["count"], "slots": 8, "connections": 64,
  "upstream_url": "http://127.0.0.1:1608$i",
  "entries": ["127.0.0.1:17080", "127.0.0.1:17081"] }
SETTINGS
  $agent --settings "$folder/agent-$i.json" 2> "$folder/agent-$i.log" &
  agents+=($!)
done

ready=no
for _ in $(seq 100); do
  count=$($entry --url $url upstreams 2> /dev/null | grep -c in_service || true)
  if [ "$count" = 4 ]; then
    ready=yes
    break
  fi
  sleep 0.1
done
[ $ready = yes ] || { echo "the deployment did not become ready: $count of 4 upstreams in service"; exit 1; }
$entry --url $url upstreams

submit() { # id, tasks
  print_job "$1" "$2" > "$folder/job.json"
  $entry --url $url --json submit "$folder/job.json" > "$folder/answer.json"
  printf 'answer of %s: %s, %s results\n' "$1" \
    "$(sed -n 's/.*"state": "\([a-z_]*\)".*/\1/p' "$folder/answer.json")" \
    "$(grep -c '"payload"' "$folder/answer.json")"
}

print_job() { # id, tasks
  local deadline=$(($(date +%s) * 1000 + 30000)) i separator=""
  printf '{"submission_id":"%s","team":"tills","deadline_ms":%s,"tasks":[' \
    "$1" "$deadline"
  for i in $(seq "$2"); do
    printf '%s{"id":"t%s","kind":"count","payload":"50"}' "$separator" "$i"
    separator=,
  done
  printf ']}'
}

print_step "a job of 40 tasks"
submit sample-1 40
print_step "decisions on this job (first lines)"
$entry --url $url decisions sample-1 | sed -n 1,6p
print_step "closing the failure domain promenade"
$entry --url $url close-domain promenade
$entry --url $url upstreams
print_step "the same job with one failure domain"
submit sample-2 40
print_step "opening the failure domain promenade again"
$entry --url $url open-domain promenade
submit sample-3 40

if [ $keep_running = yes ]; then
  print_step "the deployment keeps running at $url; press Ctrl-C to stop it"
  wait
fi
print_step "stopping gracefully"
kill -TERM "${entries[@]}" "${agents[@]}"
for pid in "${entries[@]}" "${agents[@]}"; do
  wait "$pid"
done
echo "all entries and agents exited with status 0"
