#!/usr/bin/env bash
# A small deployment on loopback: two entries, four upstreams in two failure
# domains with an agent each, and a stand-in for the platform's table. Called
# by Meta/vanillaworks.sh run; --keep leaves it up until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = "--keep" ] && keep=yes
folder=$(mktemp -d)
entry=Build/Services/Entry/vanillaworks-entry
agent=Build/Services/Agent/vanillaworks-agent
standins=Build/Tests/StandIns/vanillaworks-standins
url=http://127.0.0.1:18080
entries=()
agents=()
others=()

clean_up() {
  local pid
  for pid in "${agents[@]}" "${entries[@]}" "${others[@]}"; do
    kill "$pid" 2> /dev/null || true
  done
  rm -rf "$folder"
}
trap clean_up EXIT

say() { printf '\n== %s\n' "$*"; }

say "starting a table, four upstreams with agents, two entries"
$standins --role=table --listen=127.0.0.1:19080 &
others+=($!)
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
  others+=($!)
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
[ $ready = yes ] || { echo "the deployment did not come up"; exit 1; }
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

say "a job of 40 tasks"
submit sample-1 40
say "what happened to it (first lines)"
$entry --url $url decisions sample-1 | sed -n 1,6p
say "closing the failure domain promenade"
$entry --url $url close-domain promenade
$entry --url $url upstreams
say "the same work with one failure domain"
submit sample-2 40
say "opening it again"
$entry --url $url open-domain promenade
submit sample-3 40

if [ $keep = yes ]; then
  say "left up at $url; Ctrl-C stops it"
  wait
fi
say "stopping gracefully"
kill -TERM "${entries[@]}" "${agents[@]}"
for pid in "${entries[@]}" "${agents[@]}"; do
  wait "$pid"
done
echo "both programs ended with status 0"
