#!/usr/bin/env bash
# Starts stand-ins and three daemons on loopback, sends sample requests of both
# deployments, checks every outcome and ends with the burn report.
# With the argument one-killed: kills a daemon without a stop and expects that
# the two others go on serving drafts (red, see KNOWN-RED.txt).
set -euo pipefail
cd "$(dirname "$0")"
bin=build
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -n "${KEEP:-}" ] || rm -rf "$work"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }
fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$work"/daemon-*.log >&2 || true
  exit 1
}
# start NAME COMMAND...: runs a program in the background with its own log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
# wait_for TEXT COMMAND...: repeats a command until it succeeds, for 20 s.
wait_for() {
  local text=$1 i
  shift
  for ((i = 0; i < 400; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  fail "$text"
}
ctl() { "$bin/fuchsiadrumctl" --admin "${ADMIN:-127.0.0.1:8081}" --author ana --key "$work/ana.key" "$@"; }
# put KIND/NAME JSON: adds an entry.
put() {
  echo "$2" | ctl catalogue put "$1" --file - --base 0 --reason "sample set-up" >/dev/null ||
    fail "catalogue put $1"
}
# call PORT PATH BODY [HEADER...]: POST; leaves status, headers and body.
call() {
  local port=$1 path=$2 body=$3 h args=()
  shift 3
  for h in "$@"; do args+=(-H "$h"); done
  status=$(curl -sS -N --max-time 20 -o "$work/body" -D "$work/headers" -w '%{http_code}' \
    "${args[@]}" -H 'Content-Type: application/json' -d "$body" "http://127.0.0.1:$port$path") ||
    fail "no answer from $path"
  outcome=$(tr -d '\r' <"$work/headers" | awk -F': ' 'tolower($1)=="x-outcome"{print $2}' | tail -n 1)
}
# expect STATUS OUTCOME TEXT: checks the last call.
expect() {
  [ "$status" = "$1" ] || fail "$3: status $status, expected $1: $(head -c 400 "$work/body")"
  [ -z "$2" ] || [ "$outcome" = "$2" ] || fail "$3: outcome '$outcome', expected $2"
  printf '   %-58s %s %s\n' "$3" "$status" "$outcome"
}
field() { python3 -c "import json,sys; print(eval('d'+sys.argv[1],{'d':json.load(sys.stdin)}))" "$1"; }

say "starting the platform, three engines and two services"
start platform "$bin/fuchsiadrum-standin" --listen 127.0.0.1:9000 platform
models=contract-drafter,gift-writer
start engine-a "$bin/fuchsiadrum-standin" --listen 127.0.0.1:9001 engine --name engine-a --models $models --tokens-per-second 800
start engine-b "$bin/fuchsiadrum-standin" --listen 127.0.0.1:9002 engine --name engine-b --models $models --tokens-per-second 400
start engine-c "$bin/fuchsiadrum-standin" --listen 127.0.0.1:9003 engine --name engine-c --models $models --tokens-per-second 200
start booking "$bin/fuchsiadrum-standin" --listen 127.0.0.1:9011 service --name booking
start draw "$bin/fuchsiadrum-standin" --listen 127.0.0.1:9012 service --name draw

sleep 0.3
for pid in "${pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || fail "a stand-in did not start: $(cat "$work"/*.log | grep -v listening)"
done

say "starting three daemons, one in each availability zone"
for zone in a b c; do
  "$bin/fuchsiadrumd" --config "examples/daemon-$zone.ini" --check >/dev/null || fail "settings of daemon $zone"
  start "daemon-$zone" "$bin/fuchsiadrumd" --config "examples/daemon-$zone.ini"
done
for port in 8081 8181 8281; do
  wait_for "daemon on port $port is not ready" curl -fsS "http://127.0.0.1:$port/readyz"
done
wait_for "the daemons do not see each other" sh -c \
  "[ \$($bin/fuchsiadrumctl fleet status | grep -c alive) -eq 2 ]"
ctl fleet status

say "filling the catalogue and the budgets"
ctl operator-key make ana --out "$work/ana.key" >"$work/ana.json"
"$bin/fuchsiadrumctl" --author root catalogue put operator/ana --file "$work/ana.json" --base 0 \
  --reason "first operator" >/dev/null || fail "the root operator cannot add an operator"
put organisation/choir-hire '{"name":"choir-hire","owner":"coral-andina","organisation":{"displayName":"Choir robe hire"}}'
put organisation/gift-draw '{"name":"gift-draw","owner":"darilni-zreb","organisation":{"displayName":"Gift draw"}}'
put model/contract-drafter '{"name":"contract-drafter","owner":"coral-andina","workClass":"CONTRACT_DRAFT","model":{"maxOutputTokens":200,"maxPromptTokens":20000,"defaultClass":"CONTRACT_DRAFT"}}'
put model/gift-writer '{"name":"gift-writer","owner":"darilni-zreb","workClass":"SUGGESTION","model":{"maxOutputTokens":200,"maxPromptTokens":20000,"defaultClass":"SUGGESTION"}}'
put service/booking '{"name":"booking","owner":"coral-andina","workClass":"BOOKING","service":{"calls":[{"method":"POST","pathPrefix":"/reservations","idempotent":false,"workClass":"BOOKING"}]}}'
put service/draw '{"name":"draw","owner":"darilni-zreb","workClass":"DRAW_CHECK","service":{"calls":[{"method":"POST","pathPrefix":"/pairings","idempotent":false,"workClass":"BOOKING"},{"method":"POST","pathPrefix":"/checks","idempotent":true,"workClass":"DRAW_CHECK"}]}}'
for n in 1 2 3; do
  zone=$(echo abc | cut -c$n)
  put upstream/engine-$zone "{\"name\":\"engine-$zone\",\"owner\":\"platform\",\"upstream\":{\"address\":\"127.0.0.1:900$n\",\"availabilityZone\":\"zone-$zone\",\"models\":[\"contract-drafter\",\"gift-writer\"]}}"
done
put upstream/booking-1 '{"name":"booking-1","owner":"platform","upstream":{"address":"127.0.0.1:9011","availabilityZone":"zone-a","service":"booking"}}'
put upstream/draw-1 '{"name":"draw-1","owner":"platform","upstream":{"address":"127.0.0.1:9012","availabilityZone":"zone-b","service":"draw"}}'
for organisation in choir-hire gift-draw; do
  ctl --json caller-key make $organisation >"$work/key-$organisation"
  field '["key"]' <"$work/key-$organisation" >"$work/secret-$organisation"
  put caller-key/$organisation "$(field '["entry"]' <"$work/key-$organisation" | tr "'" '"')"
  ctl budget top-up $organisation 200000 --id first >/dev/null || fail "top-up of $organisation"
done
choir="Authorization: Bearer $(cat "$work/secret-choir-hire")"
gift="Authorization: Bearer $(cat "$work/secret-gift-draw")"
revision() { "$bin/fuchsiadrumctl" --admin "127.0.0.1:$1" --json fleet status | field '["catalogue_revision"]'; }
wait_for "the catalogue is not in force everywhere" sh -c "$(declare -f revision field); bin=$bin; [ \$(revision 8081) = \$(revision 8181) ] && [ \$(revision 8081) = \$(revision 8281) ]"
echo "   catalogue revision $(revision 8081) is in force in all three daemons"

say "requests of the choir robe hire"
draft='{"model":"contract-drafter","max_tokens":40,"messages":[{"role":"user","content":"Draft the rental contract for forty robes."}]'
answered() { call 8080 /v1/chat/completions "$draft}" "$choir"; [ "$status" = 200 ]; }
wait_for "no engine has reported its models" answered
expect 200 complete "contract draft"
if [ "${1:-}" = one-killed ]; then
  kill -9 "${pids[-3]}"
  for i in $(seq 12); do
    for port in 8180 8280; do
      call $port /v1/chat/completions "$draft}" "$choir"
      expect 200 complete "contract draft through port $port, $i s after the kill"
    done
    sleep 1
  done
  say "all checks passed"
  exit 0
fi
call 8180 /v1/chat/completions "$draft,\"stream\":true}" "$choir"
expect 200 "" "contract draft, streamed"
grep -q '^data: \[DONE\]' "$work/body" || fail "the stream has no end mark"
call 8280 /v1/chat/completions "$draft}" "$choir" "Idempotency-Key: draft-1"
expect 200 complete "contract draft with a key"
cp "$work/body" "$work/first"
call 8080 /v1/chat/completions "$draft}" "$choir" "Idempotency-Key: draft-1"
expect 200 complete "the same key through another daemon"
cmp -s "$work/body" "$work/first" || fail "the repeated draft differs from the first"
call 8080 /services/booking/reservations '{"robes":40}' "$choir" "Idempotency-Key: booking-1"
expect 200 complete "reservation"
call 8180 /services/booking/reservations '{"robes":40}' "$choir" "Idempotency-Key: booking-1"
expect 200 complete "reservation repeated through another daemon"
[ "$(curl -sS http://127.0.0.1:9011/record | field '["calls"].__len__()')" = 1 ] || fail "the reservation ran twice"
call 8080 /services/booking/reservations '{"robes":40}' "$choir"
expect 400 not-run "reservation without a key"

say "requests of the gift draw"
call 8180 /v1/chat/completions '{"model":"gift-writer","max_tokens":30,"messages":[{"role":"user","content":"Suggest a gift."}]}' "$gift"
expect 200 complete "suggestion"
call 8280 /services/draw/pairings '{"a":1,"b":2}' "$gift" "Idempotency-Key: pair-1"
expect 200 complete "pairing"
call 8080 /services/draw/checks '{}' "$gift"
expect 200 complete "draw check"

say "bad input"
call 8080 /v1/chat/completions '{"model":' "$choir"; expect 400 not-run "malformed JSON"
call 8080 /v1/chat/completions "$draft}" "X-Nothing: 1"; expect 401 not-run "no caller key"
call 8080 /v1/chat/completions "$draft}" "Authorization: Bearer wrong"; expect 401 not-run "wrong caller key"
call 8080 /v1/chat/completions '{"model":"none","max_tokens":5,"messages":[{"role":"user","content":"x"}]}' "$choir"
expect 404 not-run "unknown model"
call 8080 /v1/chat/completions "$draft}" "$choir" "X-Request-Deadline-Ms: 0"; expect 400 not-run "deadline in the past"

say "every token is accounted for"
accounted() {
  ctl --json budget show choir-hire >"$work/budget"
  curl -sS http://127.0.0.1:9001/record >"$work/r1"
  curl -sS http://127.0.0.1:9002/record >"$work/r2"
  curl -sS http://127.0.0.1:9003/record >"$work/r3"
  ctl --json budget show >"$work/budgets"
  python3 - "$work" <<'PY'
import json, sys
work = sys.argv[1]
ran = sum(r["prompt_tokens"] + r["completion_tokens"]
          for n in "123" for r in json.load(open(f"{work}/r{n}"))["runs"])
accounts = json.load(open(f"{work}/budgets"))["accounts"]
billed = 0
for a in accounts:
    spent = sum(g["spent"] for g in a["grants"] if g["state"] != "written off")
    billed += a["billed"]
    total = a["billed"] + a["written_off"] + a["granted"] + a["available"]
    assert total == a["topped_up"], (total, a["topped_up"])
if billed != ran:
    sys.exit(f"billed {billed}, the engines ran {ran}")
print(f"   billed {billed} tokens, the engines ran {ran}")
PY
}
wait_for "the budgets do not account for what the engines ran" accounted
accounted
ctl budget show

say "operators"
ctl catalogue list --kind upstream
echo '{"name":"gift-writer","owner":"darilni-zreb","workClass":"SUGGESTION","model":{"maxOutputTokens":300,"maxPromptTokens":20000,"defaultClass":"SUGGESTION"}}' >"$work/late.json"
code=0
ctl catalogue put model/gift-writer --file "$work/late.json" --base 1 --reason "late edit" >"$work/race" 2>&1 || code=$?
[ $code = 3 ] || fail "an edit on an old revision exits with $code, expected 3"
echo "   an edit on an old revision lost the race (exit 3)"
ctl handover

say "service-level burn"
ctl report burn

say "planned stop of daemon c"
kill -TERM "${pids[-1]}"
code=0
wait "${pids[-1]}" || code=$?
[ $code = 0 ] || fail "daemon c stopped with $code"
wait_for "the stopped daemon still holds a grant" sh -c \
  "! $bin/fuchsiadrumctl --json budget show | grep -q '\"holder\":\"vm-c/'"
echo "   daemon c stopped with 0 and left no grant behind"
say "all checks passed"
