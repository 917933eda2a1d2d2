#!/usr/bin/env bash
# Writes one day file for each kind of fault or planned event, and for each of
# its variants:
#   scripts/kind-days.sh DIRECTORY
# Each row below holds the name of a day, the list that its entry belongs to (plan
# or faults), and the fields of the entry.
set -euo pipefail
directory=$1
mkdir -p "$directory"
while IFS='|' read -r name list fields; do
  [ -n "$name" ] || continue
  printf '[[day]]\nname = "%s"\nslot = "trouble"\n%s = [\n  { %s },\n]\n' "$name" "$list" "$fields" >"$directory/$name.toml"
done <<'ROWS'
burst|faults|at = 6.0, kind = "burst", x = 3.0, for_s = 8.0
hot-key|faults|at = 6.0, kind = "hot_key", share = 0.5, for_s = 10.0
hot-tenant|faults|at = 6.0, kind = "hot_tenant", x = 10.0, for_s = 10.0
retry-abuse|faults|at = 6.0, kind = "retry_abuse", share = 0.3, x = 4.0, for_s = 10.0
give-up|faults|at = 6.0, kind = "give_up", share = 0.3, x = 300.0, for_s = 10.0
crash|faults|at = 6.0, kind = "srv_crash", service = "@s0", share = 0.3, for_s = 6.0
crash-dark|faults|at = 6.0, kind = "srv_crash", service = "@s0", share = 0.3, for_s = 6.0, how = "dark"
crash-gone|faults|at = 6.0, kind = "srv_crash", service = "@s1", share = 0.3, for_s = 6.0, how = "gone"
crash-dark-plain|faults|at = 6.0, kind = "srv_crash", service = "@s1", share = 0.4, for_s = 6.0, how = "dark"
grey-errors|faults|at = 6.0, kind = "srv_grey", service = "@s0", share = 0.2, for_s = 8.0, how = "errors"
grey-shed|faults|at = 6.0, kind = "srv_grey", service = "@s0", share = 0.2, for_s = 8.0, how = "shed"
grey-busy|faults|at = 6.0, kind = "srv_grey", service = "@s1", share = 0.4, for_s = 8.0, how = "busy"
grey-hang|faults|at = 6.0, kind = "srv_grey", service = "@s0", share = 0.2, for_s = 8.0, how = "hang"
grey-reset|faults|at = 6.0, kind = "srv_grey", service = "@s1", share = 0.4, for_s = 8.0, how = "reset"
grey-mute|faults|at = 6.0, kind = "srv_grey", service = "@s0", share = 0.2, for_s = 8.0, how = "mute"
grey-slow|faults|at = 6.0, kind = "srv_grey", service = "@s0", share = 0.2, for_s = 8.0, how = "slow"
slow-servers|faults|at = 6.0, kind = "srv_slow", service = "@s0", share = 0.3, x = 4.0, for_s = 10.0
release|plan|at = 4.0, kind = "release", service = "@s0", share = 0.5, gap_s = 1.0
release-plain|plan|at = 4.0, kind = "release", service = "@s1", share = 1.0, gap_s = 1.5
scale-in|plan|at = 4.0, kind = "scale_in", service = "@s0", share = 0.3
scale-in-spot|plan|at = 4.0, kind = "scale_in", service = "@s0", share = 0.3, how = "spot"
scale-out|plan|at = 4.0, kind = "scale_out", service = "@s0", share = 0.3, gap_s = 3.0
cold-return|faults|at = 6.0, kind = "cold_return", zone = "@z0", for_s = 3.0
answer-lost|faults|at = 4.0, kind = "answer_lost", service = "@s1", share = 0.7, x = 0.1, for_s = 15.0
garble|faults|at = 4.0, kind = "garble", service = "@s0", share = 0.5, x = 0.05, for_s = 15.0
garble-extra|faults|at = 4.0, kind = "garble", service = "@s1", share = 0.7, x = 0.1, for_s = 15.0, how = "extra"
garble-unframed|faults|at = 4.0, kind = "garble", service = "@s1", share = 0.7, x = 0.1, for_s = 15.0, how = "unframed"
garble-early|faults|at = 4.0, kind = "garble", service = "@s0", share = 0.5, x = 0.05, for_s = 15.0, how = "early"
kill|faults|at = 6.0, kind = "node_kill", share = 0.3
kill-leader|faults|at = 6.0, kind = "node_kill", on = "core", count = 1, how = "leader"
freeze|faults|at = 6.0, kind = "node_freeze", share = 0.3, for_s = 5.0
slow-machines|faults|at = 6.0, kind = "node_slow", share = 0.3, x = 5.0, for_s = 8.0
roll|plan|at = 4.0, kind = "roll_term", share = 1.0, gap_s = 1.0
roll-busy|plan|at = 4.0, kind = "roll_term", share = 1.0, gap_s = 1.5, how = "busy"
herd-kill|faults|at = 8.0, kind = "herd_kill", share = 0.6
herd-power|faults|at = 8.0, kind = "herd_kill", on = "core", how = "off", for_s = 2.0
add-nodes|plan|at = 6.0, kind = "add_nodes"
after-ack-kill|faults|at = 6.0, kind = "after_ack_kill", count = 2
clock-ahead|faults|at = 6.0, kind = "clock_step", share = 0.5, x = 4000.0, for_s = 6.0, how = "ahead"
clock-back|faults|at = 6.0, kind = "clock_step", share = 0.5, x = 4000.0, for_s = 6.0, how = "back"
reset-conns|faults|at = 6.0, kind = "reset_conns", share = 1.0, x = 0.8
core-cut|faults|at = 6.0, kind = "core_cut", count = 3, for_s = 8.0
core-cut-one-way|faults|at = 6.0, kind = "core_cut", count = 2, for_s = 8.0, how = "one_way"
node-cut|faults|at = 6.0, kind = "node_cut", share = 0.3, for_s = 6.0
node-cut-servers|faults|at = 6.0, kind = "node_cut", share = 0.3, for_s = 6.0, how = "servers"
lossy|faults|at = 6.0, kind = "lossy", zone = "@z0", x = 0.05, for_s = 10.0
store-silent|faults|at = 6.0, kind = "platform_down", how = "silent", for_s = 6.0
store-busy|faults|at = 6.0, kind = "platform_down", how = "busy lapse", for_s = 6.0
store-some|faults|at = 6.0, kind = "platform_down", how = "nodes many", share = 0.35, for_s = 8.0
store-some-revoke|faults|at = 6.0, kind = "platform_down", how = "nodes leader revoke", share = 0.35, for_s = 8.0
store-slow|faults|at = 6.0, kind = "platform_slow", x = 50.0, for_s = 8.0
store-lost|faults|at = 6.0, kind = "platform_lost", x = 0.5, for_s = 10.0, how = "late"
store-compact|faults|at = 6.0, kind = "platform_compact", how = "keyed", for_s = 5.0, x = 4.0
config-change|plan|at = 6.0, kind = "config_change", how = "route"
config-tenant|plan|at = 6.0, kind = "config_change", how = "tenant"
config-storm|plan|at = 6.0, kind = "config_storm", count = 12, gap_s = 0.4
big-config|plan|at = 6.0, kind = "big_config", count = 300
revoke|plan|at = 6.0, kind = "revoke", count = 3, gap_s = 1.0, how = "last"
bad-one-class|plan|at = 4.0, kind = "rollout_bad", service = "@s0", for_s = 20.0, share = 0.5, how = "one_class"
bad-late|plan|at = 4.0, kind = "rollout_bad", service = "@s0", for_s = 20.0, share = 0.5, gap_s = 5.0, how = "late"
evacuate|plan|at = 6.0, kind = "evacuate", zone = "@z0", for_s = 10.0
evacuate-warm|plan|at = 6.0, kind = "evacuate", zone = "@z0", for_s = 10.0, how = "warm"
lying-health|faults|at = 6.0, kind = "srv_lying_health", service = "@s0", share = 0.3, for_s = 10.0
flap|faults|at = 6.0, kind = "srv_flap", service = "@s0", share = 0.3, for_s = 10.0
reuse|faults|at = 6.0, kind = "replace_with_reuse", service = "@s1", share = 0.4
reuse-drain|faults|at = 6.0, kind = "replace_with_reuse", service = "@s1", share = 0.4, how = "drain"
hup|plan|at = 6.0, kind = "hup", share = 1.0, gap_s = 2.0
zone-loss|faults|at = 6.0, kind = "zone_loss", zone = "@z0", for_s = 4.0
zone-cut|faults|at = 6.0, kind = "zone_cut", zone = "@z0", for_s = 6.0
srv-cut|faults|at = 6.0, kind = "srv_cut", service = "@s0", share = 0.3, for_s = 6.0
shift|faults|at = 6.0, kind = "shift", share = 0.6, for_s = 10.0
ROWS
