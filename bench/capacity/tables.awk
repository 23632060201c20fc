# The page with every table between "<!-- table: NAME -->" and "<!-- end -->"
# made anew from the recorded points. Fails where a recorded line doesn't fit
# its points, and on a table or measure that doesn't exist.

function fail(text) { print "tables.awk: " text > "/dev/stderr"; failed = 1; exit 1 }

function fit(k,   i, n, mx, my, sxy, sxx) {
  n = count[k]
  for (i = 1; i <= n; i++) { mx += size[k, i] / n; my += value[k, i] / n }
  for (i = 1; i <= n; i++) {
    sxy += (size[k, i] - mx) * (value[k, i] - my)
    sxx += (size[k, i] - mx) ^ 2
  }
  slope[k] = sxx > 0 ? sxy / sxx : 0
  base[k] = my - slope[k] * mx
}
function need(k) { if (!(k in count)) fail("no points of " k) }
function per(e, m, b) { need(e "," m "," b); return slope[e "," m "," b] }
# The fitted line at a size; no line goes below zero.
function at(e, m, b, x,   y) {
  y = per(e, m, b) * x + base[e "," m "," b]
  return y > 0 ? y : 0
}
# What was measured at the largest size, and that size.
function last(e, m, b,   k) { k = e "," m "," b; need(k); return value[k, count[k]] }
function largest(e, m, b,   k) { k = e "," m "," b; need(k); return size[k, count[k]] }

function num(x) {
  if (x < 0) return "-" num(-x)
  if (x < 0) return "-" num(-x)
  if (x >= 1e9) return sprintf("%.2f G", x / 1e9)
  if (x >= 1e6) return sprintf("%.2f M", x / 1e6)
  if (x >= 1e4) return sprintf("%.1f k", x / 1e3)
  if (x >= 100) return sprintf("%.0f", x)
  if (x >= 1) return sprintf("%.2f", x)
  return sprintf("%.3g", x)
}
function pct(us) { return sprintf("%.2f%%", us / 1e4) }
function row(a, b, c, d, e) {
  if (!columns) columns = e != "" ? 5 : d != "" ? 4 : 3
  printf "| %s | %s | %s |", a, b, c
  if (columns > 3) printf " %s |", d
  if (columns > 4) printf " %s |", e
  print ""
}

# Least chance p of each of n with at most k misses in 99 of 100 (Poisson).
function miss_rate(k, n,   lo, hi, mid, i, term, sum, step) {
  lo = 0; hi = n
  for (step = 0; step < 100; step++) {
    mid = (lo + hi) / 2
    term = exp(-mid); sum = term
    for (i = 1; i <= k; i++) { term *= mid / i; sum += term }
    if (sum >= 0.99) lo = mid; else hi = mid
  }
  return lo / n
}

function setup() {
  HOSTS = 2000; SEARCHERS = 9100; QPS = 340000; FAN = 1500; SLOTS = 2
  ZONES = 10; CHANGES = 9600; FAILS = 25; RESTARTS = 4300; DAY = 86400
  FRONTS = 100          # of 15 services: 1,500
  UDP = 28              # bytes of IP and UDP heads
  BEATS = 5; P99 = 0.092; REPLICAS = 5
  KB3 = 3000; CORE = 11000; MB256 = 256e6
  ZH = HOSTS / ZONES; ZT = SEARCHERS / ZONES; HT = SEARCHERS / HOSTS
  RATE = CHANGES / DAY; HQ = QPS / HOSTS; HS = HQ * FAN
  DATAGRAM = 8          # bytes of Datagram's own fields
  # Full mesh.
  BEAT = at("heartbeat", "bytes", "held", HT)
  BEAT_SENT = (HOSTS - 1) * BEATS * (BEAT + DATAGRAM + UDP)
  REPORT = per("heartbeat", "bytes", "reports")
  REPORT_SENT = (HOSTS - 1) * HT * REPORT
  BEAT_CPU = HOSTS * BEATS * at("heartbeat", "hear_cpu_us", "held", HT) + BEATS * at("heartbeat", "send_cpu_us", "held", HT)
  REPORT_CPU = SEARCHERS * last("directory_report", "cpu_us", "targets")
  # Leases: what is sent grows with the zone, the time with its square.
  LEASE_SENT = (at("lease", "bytes_per_second", "zone_hosts", ZH) + at("lease", "messages_per_second", "zone_hosts", ZH) * (UDP + DATAGRAM)) / ZH
  LEASE_VOTER = at("lease", "busiest_bytes_per_second", "zone_hosts", ZH)
  LEASE_LAST = largest("lease", "cpu_us_per_second", "zone_hosts")
  LEASE_CPU = last("lease", "cpu_us_per_second", "zone_hosts") / LEASE_LAST * (ZH / LEASE_LAST) ^ 2
  ANNOUNCE_BYTES = HT * per("announcement", "bytes", "announcements")
  ANNOUNCE_CPU = HT * (per("announcement", "cpu_us", "announcements") + last("directory_report", "cpu_us", "targets"))
  DELTA = at("delta", "bytes", "fronts", FRONTS) + 100
  DELTA_MAKE = at("delta", "make_cpu_us", "fronts", FRONTS)
  DELTA_APPLY = at("delta", "apply_cpu_us", "fronts", FRONTS)
  WHOLE = at("whole", "bytes", "fronts", FRONTS)
  CONFIG_SENT = RATE * DELTA + (RESTARTS + FAILS) / DAY * WHOLE / HOSTS
  CONFIG_CPU = RATE * (DELTA_MAKE + DELTA_APPLY)
}

function table_slopes(   i, k, f) {
  row("experiment", "measure", "by, sizes", "at zero", "slope")
  row("---", "---", "---", "---:", "---:")
  for (i = 1; i <= keys; i++) {
    k = order[i]; split(k, f, ",")
    if (f[2] == "failed" || f[2] == "held") continue
    row(f[1], f[2], f[3] ", " size[k, 1] " to " size[k, count[k]], sprintf("%.4g", base[k]), sprintf("%.4g", slope[k]))
  }
}
function table_load() {
  row("quantity", "worked out from", "figure"); row("---", "---", "---:")
  row("sub-requests a second", QPS " x " FAN, num(QPS * FAN))
  row("sub-requests a searcher a second", "over " SEARCHERS, num(QPS * FAN / SEARCHERS))
  row("time a sub-request may take, slots always full", SLOTS " slots", sprintf("%.1f us", SLOTS / (QPS * FAN / SEARCHERS) * 1e6))
  row("queries a host a second", "over " HOSTS, num(HQ))
  row("sub-requests a host a second", "as coordinator; as many again as lease holder", num(HS))
  row("targets a lease holder has", SEARCHERS " over " HOSTS, num(HT))
}
function table_closing(   ms, rate) {
  row("a sub-request takes", "sub-requests a second that 9,100 x 2 slots bear at 60%", "queries a second at fan-out 1,500", "fan-out at 340,000 a second", "short by")
  row("---:", "---:", "---:", "---:", "---:")
  for (ms = 0.1; ms <= 10.01; ms *= 10) {
    rate = SEARCHERS * SLOTS * 0.6 / (ms / 1000)
    row(ms " ms", num(rate), num(rate / FAN), num(rate / QPS), num(QPS * FAN / rate) " times")
  }
}
function table_latency(   k, q) {
  row("services that may be missing", "coverage", "share of sub-requests that may be late", "the same of each of two tries") ; row("---:", "---:", "---:", "---:")
  for (k = 0; k <= 75; k = k == 0 ? 1 : k == 1 ? 15 : k + 60) {
    q = k == 0 ? 1 - exp(log(0.99) / FAN) : miss_rate(k, FAN)
    row(k, sprintf("%.4f", 1 - k / FAN), sprintf("%.3g", q), sprintf("%.3g", sqrt(q)))
  }
}
function table_data(   cpu, sum) {
  row("work", "us a sub-request", "cores a host"); row("---", "---:", "---:")
  cpu = last("query_run", "cpu_us", "fan_out") / FAN; sum += cpu
  row("QueryRun at fan-out 1,500", num(cpu), num(HS * cpu / 1e6))
  cpu = per("hop_codec", "cpu_us", "calls"); sum += cpu
  row("hop message, encoded and decoded", num(cpu), num(HS * cpu / 1e6))
  cpu = per("hop_tcp", "cpu_us", "calls"); sum += cpu
  row("hop over TCP, both ends", num(cpu), num(HS * cpu / 1e6))
  cpu = per("sub_request", "cpu_us", "sub_requests"); sum += cpu
  row("admission, request and answer at the holder", num(cpu), num(HS * cpu / 1e6))
  cpu = per("target_exchange", "cpu_us", "exchanges"); sum += cpu
  row("HTTP exchange, both ends (the target's is not the tier's)", num(cpu), num(HS * cpu / 1e6))
  row("together", num(sum), num(HS * sum / 1e6))
  row("hop bytes", num(per("hop_codec", "bytes", "calls")) " bytes", num(HS * per("hop_codec", "bytes", "calls")) "B a second out, as many in")
}
function table_control(   sent, cpu) {
  row("today, each host", "sent, bytes a second", "processor, of one core", "mechanism"); row("---", "---:", "---:", "---")
  row("heartbeats to all, 5 a second", num(BEAT_SENT), pct(BEAT_CPU), "Gossip, HostView, HolderDirectory")
  row("reports in them", num(REPORT_SENT), pct(REPORT_CPU), "TargetDirectory")
  row("leases, mean of a zone", num(LEASE_SENT), pct(LEASE_CPU), "ZoneLeases, LeaseService")
  row("leases, the busiest voter (sent and taken)", num(LEASE_VOTER), "not separated", "LeaseGrantor")
  row("announcements (taken, without HTTP)", num(ANNOUNCE_BYTES), pct(ANNOUNCE_CPU), "ReadReportJson, TargetDirectory")
  row("configuration, " CHANGES " changes a day", num(CONFIG_SENT), pct(CONFIG_CPU), "ConfigurationKeeper, ConfigurationService")
  sent = BEAT_SENT + REPORT_SENT + LEASE_SENT + CONFIG_SENT
  cpu = BEAT_CPU + REPORT_CPU + LEASE_CPU + ANNOUNCE_CPU + CONFIG_CPU
  row("together, without the busiest voter and announcements' bytes", num(sent), pct(cpu), "")
  row("budget", num(KB3), pct(CORE), "")
  row("over by", num(sent / KB3) " times", num(cpu / CORE) " times", "")
}
function table_proposed(   swim, maps, state, config, lease, news, sum, announced) {
  row("proposed, each host", "sent and taken, bytes a second", "assumes", "exists"); row("---", "---:", "---", "---")
  swim = 2 * 2 * (UDP + at("heartbeat", "bytes", "held", 0) + DATAGRAM)
  row("one probe a second to one host of the zone, answered; one to it", num(swim), "messages of an empty heartbeat's size", "no")
  news = 3 * 2 * (RESTARTS + FAILS) / DAY * 80
  row("hosts that come and go, zone gossip and relays", num(news), "80 bytes, each heard 3 times", "no")
  maps = 3 * 2 * (RESTARTS + FAILS) / DAY * HT * per("heartbeat", "bytes", "held")
  row("changes of who holds what", num(maps), "each heard 3 times", "no")
  state = 3 * 3 * SEARCHERS * (RESTARTS / HOSTS) / DAY * REPORT
  row("states of targets (cold, ready, leaving), all hosts", num(state), "targets restart as often as hosts; heard 3 times", "no")
  config = 2 * CONFIG_SENT
  row("configuration, taken and passed on", num(config), "a cached delta", "delta yes, cache no")
  lease = 2 * 2 * 5 / 2 * (UDP + DATAGRAM + 80)
  row("leases of the host: a message to each of 5 voters and its reply, every 2 s", num(lease), "80 bytes; 6 s leases; targets follow from an agreed list of hosts", "no")
  sum = swim + news + maps + state + config + lease
  row("together between hosts", num(sum), "", "")
  announced = HT / 5 * (per("announcement", "bytes", "announcements") + 250)
  row("announcements of own targets, every 5 s", num(announced), "250 bytes of HTTP heads", "every 1 s today")
  row("budget", num(KB3), "", "")
  row("left", num(KB3 - sum - announced), "", "")
}
function table_memory(   t, h, c, conn, q, cfg, live) {
  row("each host keeps", "worked out from", "bytes"); row("---", "---", "---:")
  t = SEARCHERS * per("directory_target", "heap_bytes", "targets")
  row("all targets' reports", "TargetDirectory", num(t))
  c = SEARCHERS * per("holder_claim", "heap_bytes", "targets")
  row("who holds what", "HolderDirectory", num(c))
  h = HOSTS * per("host_view", "heap_bytes", "hosts")
  row("all hosts", "HostView", num(h))
  cfg = at("configuration", "heap_bytes", "fronts", FRONTS)
  row("configuration of " FRONTS " fronts, without past texts", "ConfigurationKeeper", num(cfg))
  live = HT * per("admission", "heap_bytes", "targets")
  row("admission of held targets", "TargetAdmission", num(live))
  q = HQ * P99 * at("query_in_flight", "heap_bytes", "fan_out", FAN)
  row("queries in flight, each for 92 ms", "QueryRun", num(q))
  conn = (HOSTS - 1) * per("peer_connection", "heap_bytes", "connections")
  row("a connection to and from every host, heap", "PeerClient, PeerServer, their fibers' stacks", num(conn))
  row("the same, resident", "", num((HOSTS - 1) * per("peer_connection", "resident_bytes", "connections")))
  row("together, heap, without queries", "", num(t + c + h + cfg + live + conn))
  row("budget (control)", "", num(MB256))
}
function table_changes(   full, record, reads) {
  row("a change, " FRONTS " fronts", "worked out from", "figure"); row("---", "---", "---:")
  row("changes a second, mean", CHANGES " a day", num(RATE))
  record = at("change", "bytes_each", "fronts", FRONTS)
  row("bytes written by a replica, a change", "two records, two syncs", num(record))
  row("processor of a replica, a change", "", num(at("change", "cpu_us_each", "fronts", FRONTS)) " us")
  row("bytes to the other replicas, a change", (REPLICAS - 1) " whole values", num((REPLICAS - 1) * WHOLE))
  reads = (REPLICAS - 1) * WHOLE
  row("bytes a replica takes by its read through a quorum, a second", (REPLICAS - 1) " whole values, once a second", num(reads))
  row("making the delta once", "ConfigurationKeeper::PushFrom", num(DELTA_MAKE / 1000) " ms")
  row("applying it", "ConfigurationKeeper::Apply", num(DELTA_APPLY / 1000) " ms")
  row("one origin making it for all its zone's hosts", ZH - 1 " pulls", num((ZH - 1) * DELTA_MAKE / 1e6) " s")
  row("one origin making it for all hosts", HOSTS - 1 " pulls", num((HOSTS - 1) * DELTA_MAKE / 1e6) " s")
  row("start of a replica", "records of one file, at most " largest_records() " in these runs", num(last("restart_after_many", "cpu_us", "changes") / 1000) " ms")
}
function largest_records(   k, i, most) {
  k = "restart_after_many,records,changes"; need(k)
  for (i = 1; i <= count[k]; i++) if (value[k, i] > most) most = value[k, i]
  return most
}
function table_roles(   reads) {
  row("role", "state", "messages a second", "processor, of one core", "memory"); row("---", "---", "---", "---:", "---:")
  row("coordinator", "queries in flight (" num(HQ * P99) "), targets, holders, hosts", num(HS) " hop calls out", num(HS * (last("query_run", "cpu_us", "fan_out") / FAN + (per("hop_codec", "cpu_us", "calls") + per("hop_tcp", "cpu_us", "calls")) / 2) / 1e4) "%", num(HQ * P99 * at("query_in_flight", "heap_bytes", "fan_out", FAN) + SEARCHERS * (per("directory_target", "heap_bytes", "targets") + per("holder_claim", "heap_bytes", "targets"))) "B")
  row("lease holder", num(HT) " targets: slots, queue, ramp, lease", num(HS) " hop calls in, as many exchanges; " num(at("lease", "messages_per_second", "zone_hosts", ZH) / ZH) " of leases", num(LEASE_CPU / 1e4 + HS * ((per("hop_codec", "cpu_us", "calls") + per("hop_tcp", "cpu_us", "calls")) / 2 + per("sub_request", "cpu_us", "sub_requests") + per("target_exchange", "cpu_us", "exchanges")) / 1e4) "%", num(HT * per("admission", "heap_bytes", "targets")) "B")
  row("relay (every host)", "the configuration and past texts of it", num(RATE) " deltas; " num((HOSTS - 1) * BEATS) " heartbeats each way", pct(CONFIG_CPU + BEAT_CPU + REPORT_CPU), num(at("configuration", "heap_bytes", "fronts", FRONTS) + HOSTS * per("host_view", "heap_bytes", "hosts")) "B")
  row("control replica", "one value of " num(WHOLE) "B, outcomes, members", num(RATE) " changes, 2 syncs each; 1 read through a quorum", pct(RATE * at("change", "cpu_us_each", "fronts", FRONTS)) " for its disk records only", num(2 * WHOLE) "B and the read buffers")
  row("operator's door (every host)", "none that lasts", num(RATE) " changes over all hosts", "not measured", "not measured")
}

function print_table(name) {
  columns = 0
  if (name == "slopes") table_slopes()
  else if (name == "load") table_load()
  else if (name == "closing") table_closing()
  else if (name == "latency") table_latency()
  else if (name == "data") table_data()
  else if (name == "control") table_control()
  else if (name == "proposed") table_proposed()
  else if (name == "memory") table_memory()
  else if (name == "changes") table_changes()
  else if (name == "roles") table_roles()
  else fail("no table " name)
}

FNR == 1 { file++ }
file == 1 && (/^#/ || /^kind,/) { next }
file == 1 {
  split($0, f, ",")
  k = f[2] "," f[3] "," f[4]
  if (f[1] == "point") {
    if (!(k in count)) order[++keys] = k
    i = ++count[k]; size[k, i] = f[5]; value[k, i] = f[6]
  } else {
    recorded[k] = f[6]
  }
  next
}
file == 2 && FNR == 1 {
  for (i = 1; i <= keys; i++) {
    k = order[i]; fit(k)
    if (!(k in recorded)) fail("no recorded line of " k)
    off = recorded[k] - slope[k]
    if (off < 0) off = -off
    if (off > 1e-3 * (slope[k] < 0 ? -slope[k] : slope[k]) + 1e-9) fail("the recorded slope of " k " is not that of its points")
  }
  setup()
}
/^<!-- end -->$/ { inside = 0; print ""; print; next }
inside { next }
/^<!-- table: / {
  print; print ""
  name = $3; inside = 1
  print_table(name)
  next
}
{ print }
END { if (!failed && inside) { print "tables.awk: a table doesn't end" > "/dev/stderr"; exit 1 } }
