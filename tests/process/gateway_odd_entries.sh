# Tests that an entry of another writer among those of the upstreams, whatever it
# holds, keeps no gateway from following the list, from starting or from running on.
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=1 --set desks=2
gateway g1

entry() { curl -s -m 5 -X POST --data-binary "$2" "http://$CONTROL/entry/$1" >/dev/null; }
repeat() { head -c "$2" /dev/zero | tr '\0' "$1"; }
follows() { [ "$(log_of g1 upstream_changed | grep -c 'upstream=desk-2 .*state=draining')" -ge "$1" ]; }

seen=0
while read -r name spec <&3; do
  say "an entry with $name"
  entry odd "$spec"
  upstream desk-2 '"state":"draining"'
  seen=$((seen + 1))
  wait_for 4 follows "$seen" || problem "$name: g1 does not follow the list any more"
  upstream desk-2 '"state":"ready"'
  expect "$name: served" "$(call g1 /again/a -H "Request-Id: odd-$name")" 'status=200'
  gateway g2
  expect "$name: served after a start" "$(call g2 /again/a -H "Request-Id: start-$name")" 'status=200'
  signal g2 KILL
done 3<<ENTRIES
a_large_number {"service":"desk","sequence":123456789012345678901234567890123456789}
a_large_fraction {"service":"desk","x":1e400}
many_levels {"x":$(repeat '[' 3000)$(repeat ']' 3000)}
a_lone_surrogate {"service":"\ud800"}
no_text {"service":"$(printf '\377\376')"}
no_json nul
a_large_port {"service":"desk","address":"127.0.0.1:99999","zone":"dc1","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":1}
port_zero {"service":"desk","address":"127.0.0.1:0","zone":"dc1","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":1}
many_slots {"service":"desk","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":1e99,"state":"ready","cold-remaining-ms":0,"sequence":1}
incomplete {"service":"desk","address":"$STORE","slots":8,"zone":7,"version":["v1"],"state":"ready","sequence":"1"}
a_long_service {"service":"$(repeat s 9000)","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":1}
ENTRIES
expect "the entry is named" "$(log_of g1 input_unreadable)" 'what=upstream reason=odd'
kill -0 "$(cat "$FLEET/g1.pid")" || problem "g1 has ended"
finish
