#!/usr/bin/env python3
"""Runs experiments on the running system; each prints its results as tables.

Usage: bench/experiments.py overhead|compare|overload|stragglers|configuration|idle [options]

Starts the system and the emulators as separate processes on loopback, like the
process tests, and terminates them. Every experiment is bounded in time. Compare
timings within one table only, since the machine may be shared.
docs/measurements.md holds the results and the conclusions.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "process_tests"))
import processes  # noqa: E402
from processes import BUILD, HOST, Cluster, http_call, http_json, metric, wait_until  # noqa: E402

LOAD_TIMEOUT_S = 120
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


# Maximum number of agents of a pool that an entry connects to.
MAX_CONNECTED_AGENTS = 40


class PartiallyConnectedCluster(Cluster):
    """Cluster in which entries may be connected to only some of the agents."""

    def wait_connected(self, timeout_s=30):
        expected = min(MAX_CONNECTED_AGENTS, len(self.upstreams))
        for entry in self.entries:
            wait_until(lambda e=entry: self.connected(e) >= expected, timeout_s, f"{entry['name']} connected")

    def connected(self, entry):
        return sum(1 for u in self.status(entry)["upstreams"] if u["connected"] and u["ready"])

    def print_logs(self, tail=3):
        super().print_logs(tail)


def print_table(title, header, rows):
    cells = [header] + [[f"{c:.2f}" if isinstance(c, float) else str(c) for c in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    print(f"\n{title}\n")
    for number, row in enumerate(cells):
        print("| " + " | ".join(c.ljust(w) for c, w in zip(row, widths)) + " |")
        if number == 0:
            print("| " + " | ".join("-" * w for w in widths) + " |")
    sys.stdout.flush()


def run_load(*flags):
    """Runs cardamom_load and returns its JSON report."""
    done = subprocess.run([BUILD / "cardamom_load", "--json", *map(str, flags)],
                          capture_output=True, text=True, timeout=LOAD_TIMEOUT_S)
    if not done.stdout:
        raise RuntimeError(f"cardamom_load {flags}: exit {done.returncode}: {done.stderr}")
    return json.loads(done.stdout)


def targets(cluster):
    return [flag for e in cluster.entries for flag in ("--target", e["http"])]


def read_process_usage(pid):
    """Returns (CPU seconds, resident MiB) of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, int(fields[21]) * PAGE_BYTES / (1 << 20)


def first_upstream(cluster, kind):
    return next(u for u in cluster.upstreams if u.kind == kind)


def model_rules(trainers):
    """Rules of a deployment without plain services."""
    return {"routes": [], "trainers": trainers, "upstreams": [], "weights": {"idle": 0.5, "staleness": 0.5}}


TRAINER = {"name": "t1", "priority": 1, "model": "notes", "staleness_bound": 2}


# --- overhead ---------------------------------------------------------------

def overhead(options):
    latency_rows, cpu_rows = [], []
    for entries in options.entries:
        with Cluster(entries=entries, models=1, plain=1, domains=1, concurrency=16,
                     engine_args=["--ms-per-token", "2"]) as cluster:
            for kind, flags in (
                    ("plain", ["--kind", "plain", "--path", "/counter/load", "--requests", 4000]),
                    ("stream", ["--kind", "stream", "--model", "notes", "--max-tokens", 32, "--requests", 200])):
                upstream = first_upstream(cluster, "plain" if kind == "plain" else "model")
                for threads in (1, 8):
                    overhead_run(cluster, upstream, kind, flags, threads, latency_rows, cpu_rows)
    print_table("Added latency and throughput through the system, against the same client straight to the emulator",
                ["entries", "call", "clients", "direct median", "system median", "added median", "direct p99",
                 "system p99", "added first token", "throughput ratio", "errors"], latency_rows)
    print_table("CPU a call (ms) and memory (MiB); the ratio is to the emulator's CPU in the direct calls",
                ["entries", "call", "clients", "process", "CPU ms/call", "ratio to direct", "MiB"], cpu_rows)


def overhead_run(cluster, upstream, kind, flags, threads, latency_rows, cpu_rows):
    measured = [(e["name"], e["process"].popen.pid) for e in cluster.entries]
    measured += [("agent", upstream.agent.popen.pid), ("emulator", upstream.process.popen.pid)]
    pids = [flag for _, pid in measured for flag in ("--pid", pid)]
    report = run_load(*targets(cluster), "--direct", upstream.address, "--threads", threads, "--seconds", 6,
                  "--rounds", 5, *flags, *pids)
    direct, system, difference = report["direct"], report["target"], report["difference"]
    entries = len(cluster.entries)
    latency_rows.append([entries, kind, threads, direct["latency_ms"]["median"], system["latency_ms"]["median"],
                         difference["added_latency_ms"], direct["latency_ms"]["p99"], system["latency_ms"]["p99"],
                         difference["added_first_token_ms"] if kind == "stream" else "",
                         difference["throughput_ratio"], sum(system["errors"].values())])
    usage = {name: p for (name, _), p in zip(measured, system["processes"])}
    direct_cpu = direct["processes"][-1]["cpu_ms_per_ok"]
    entry_cpu = sum(usage[e["name"]]["cpu_ms_per_ok"] for e in cluster.entries)
    entry_mib = max(usage[e["name"]]["max_resident_mib"] for e in cluster.entries)
    for name, cpu, mib in (("emulator, direct", direct_cpu, direct["processes"][-1]["max_resident_mib"]),
                           ("emulator, system", usage["emulator"]["cpu_ms_per_ok"],
                            usage["emulator"]["max_resident_mib"]),
                           ("entry (all)", entry_cpu, entry_mib),
                           ("agent", usage["agent"]["cpu_ms_per_ok"], usage["agent"]["max_resident_mib"])):
        cpu_rows.append([entries, kind, threads, name, f"{cpu:.3f}", cpu / direct_cpu if direct_cpu else 0.0, mib])


# --- compare ----------------------------------------------------------------

def compare(options):
    """Alternates plain calls between two builds of the daemon."""
    totals = {}
    for _ in range(options.rounds):
        for build in options.builds:
            processes.BUILD = pathlib.Path(build).resolve()
            with Cluster(entries=1, models=0, plain=1, domains=1, concurrency=16, trainers=[]) as cluster:
                pids = [cluster.entries[0]["process"].popen.pid, cluster.upstreams[0].agent.popen.pid,
                        cluster.upstreams[0].process.popen.pid]
                total = totals.setdefault(build, {"ok": 0, "cpu": [0.0] * 3, "median": []})
                report = run_load(*targets(cluster), "--kind", "plain", "--path", "/counter/load", "--threads", 4,
                              "--requests", 16000, "--seconds", 10,
                              *[flag for pid in pids for flag in ("--pid", pid)])["target"]
                total["ok"] += report["ok"]
                total["median"].append(report["latency_ms"]["median"])
                for i, process in enumerate(report["processes"]):
                    total["cpu"][i] += process["cpu_seconds"]
    rows = []
    for number, total in enumerate(totals.values()):
        cpu_ms_per_call = [1000 * cpu / total["ok"] for cpu in total["cpu"]]
        rows.append(["AB"[number], total["ok"], sorted(total["median"])[len(total["median"]) // 2],
                     *[f"{c:.3f}" for c in cpu_ms_per_call]])
    print_table("Plain calls of 4 clients through two builds in turn; CPU in ms a call",
                ["build", "calls", "median ms", "entry", "agent", "emulator"], rows)


# --- overload ---------------------------------------------------------------

def overload(options):
    if options.part in ("plain", "both"):
        overload_plain(options)
    if options.part in ("live", "both"):
        overload_live()


def overload_plain(options):
    """Two services of 4 slots and 20 ms a call, with a deadline of 500 ms a call."""
    os.environ["CARDAMOM_HTTP_THREADS"] = str(options.http_threads)
    rules = {"routes": [{"prefix": "/counter", "pool": "counter", "timeout_ms": options.deadline_ms,
                         "non_idempotent": []}],
             "trainers": [], "upstreams": [], "weights": {"idle": 0.5, "staleness": 0.5}}
    with Cluster(entries=2, models=0, plain=2, domains=2, concurrency=4, rules=rules,
                 service_args=["--delay-ms", "20"]) as cluster:
        direct = [flag for u in cluster.upstreams for flag in ("--direct", u.address)]
        capacity = run_load(*direct, "--kind", "plain", "--path", "/counter/load", "--threads", 8,
                        "--seconds", 3, "--requests", 100000)["direct"]["ok_per_second"]
        rows = []
        for name, load_factor, seconds in (("0.8 before", 0.8, 4), ("1", 1, 6), ("2", 2, 6), ("5", 5, 8),
                                     ("0.8, second 1 after", 0.8, 1), ("0.8, second 2 after", 0.8, 1),
                                     ("0.8, second 3 after", 0.8, 1), ("0.8, later", 0.8, 4)):
            rate = capacity * load_factor
            report = run_load(*targets(cluster), "--kind", "plain", "--path", "/counter/load",
                          "--threads", options.threads, "--rate", rate, "--seconds", seconds, "--requests", 1000000,
                          "--deadline-ms", options.deadline_ms)["target"]
            # The report's duration includes slow connects; cap it, so that one of them does not lower the goodput
            # of a short phase.
            goodput = report["ok_in_time"] / min(report["seconds"], seconds + options.deadline_ms / 1000)
            rows.append([name, rate, goodput, goodput / capacity, report["latency_ms"]["median"],
                         report["latency_ms"]["p99"], json.dumps(report["errors"])])
        print_table(f"Goodput of a plain service, capacity {capacity:.0f}/s (measured directly), deadline "
                    f"{options.deadline_ms} ms, {options.threads} client connections on 2 entries of {options.http_threads} "
                    f"HTTP threads",
                    ["offered / capacity", "offered/s", "goodput/s", "goodput / capacity", "median ms", "p99 ms",
                     "not answered, by reason"], rows)


def overload_live():
    """Live completions at about 30% of two engines, with and without a trainer's step on the same engines."""
    with Cluster(entries=2, models=2, plain=0, domains=2, concurrency=4, rules=model_rules([TRAINER]),
                 engine_args=["--ms-per-token", "5"]) as cluster:
        flags = [*targets(cluster), "--kind", "stream", "--model", "notes", "--max-tokens", 32, "--threads", 16,
                 "--rate", 15, "--requests", 100000]
        rows = []

        def measure(name, seconds):
            report = run_load(*flags, "--seconds", seconds)["target"]
            rows.append([name, report["ok"], report["latency_ms"]["median"], report["latency_ms"]["p99"],
                         report["first_token_ms"]["median"], report["first_token_ms"]["p99"],
                         json.dumps(report["errors"])])

        measure("without trainer", 6)
        trainer = cluster.spawn("trainer", trainer_args(cluster, steps=1, groups=16, samples=8, max_tokens=200))
        time.sleep(1)
        measure("beside a step", 8)
        ended = not trainer.alive()
        preempted = sum(metric(u.agent_http, "runs_preempted_total") for u in cluster.upstreams)
        trainer.kill()
        time.sleep(2)
        measure("after the trainer left", 4)
        print_table(f"Live completions, 15/s of 32 tokens on 8 slots; trainer runs preempted: {preempted:.0f}; "
                    f"step ended during the measurement: {ended}",
                    ["phase", "right", "median ms", "p99 ms", "first token median", "first token p99", "errors"], rows)


def trainer_args(cluster, steps, groups, samples, max_tokens):
    entries = [flag for e in cluster.entries for flag in ("--entry", e["http"])]
    return [BUILD / "standin_trainer", *entries, "--trainer", "t1", "--steps", steps, "--groups", groups,
            "--samples-per-group", samples, "--max-tokens", max_tokens]


# --- stragglers -------------------------------------------------------------

def stragglers(options):
    """Four engines of 10 to 60 ms a token; runs the same steps alternately with straggler moves on and off."""
    rows = []
    for round_number in range(options.rounds):
        for moves in ("on", "off"):
            with Cluster(entries=1, models=4, plain=0, domains=1, concurrency=4,
                         rules=model_rules([TRAINER])) as cluster:
                entry = cluster.entries[0]
                if moves == "off":
                    entry["process"].terminate()
                    cluster.start_entry(entry, ["--straggler-moves", "0"])
                    cluster.wait_ready(entry)
                    cluster.wait_connected()
                for upstream, ms in zip(cluster.upstreams, (10, 20, 40, 60)):
                    http_json(upstream.address, "POST", "/admin", {"ms_per_token": ms})
                started, times = time.monotonic(), []
                trainer = subprocess.Popen(
                    [str(a) for a in trainer_args(cluster, options.steps, 4, 4, 200)],
                    stdout=subprocess.PIPE, text=True)
                watchdog = threading.Timer(100, trainer.kill)
                watchdog.start()
                for line in trainer.stdout:
                    if line.startswith("{"):
                        times.append(time.monotonic() - started)
                        started = time.monotonic()
                trainer.wait(10)
                watchdog.cancel()
                moved = metric(entry["http"], "stragglers_moved_total")
                rows.append([round_number + 1, moves, " ".join(f"{t:.1f}" for t in times),
                             sum(times) / max(1, len(times)),
                             sum(times[1:]) / max(1, len(times) - 1), f"{moved:.0f}"])
    print_table("Step time (s) of 16 samples of 200 tokens on engines of 10, 20, 40 and 60 ms a token, 4 slots each",
                ["round", "moves", "steps", "mean", "mean without the first", "samples moved"], rows)


# --- configuration ----------------------------------------------------------

def configuration(options):
    rows = []
    for size in options.sizes:
        entries = max(2, size // 16)
        agents = size - entries
        with PartiallyConnectedCluster(entries=entries, models=0, plain=agents, domains=2, trainers=[]) as cluster:
            addresses = [e["http"] for e in cluster.entries] + [u.agent_http for u in cluster.upstreams]
            initial = store_counts(cluster)
            started = time.monotonic()
            time.sleep(5)
            idle_call_rate = (sum(store_counts(cluster).values()) -
                              sum(initial.values())) / (time.monotonic() - started)
            before, started, times = store_counts(cluster), time.monotonic(), []
            for edit in range(5):
                cluster.rules["routes"][0]["timeout_ms"] = 10000 + edit
                cluster.apply()
                times.append(time_to_apply(cluster, addresses))
                time.sleep(0.5)
            elapsed = time.monotonic() - started
            after = store_counts(cluster)
            calls = sum(after.values()) - sum(before.values())
            times.sort()
            rows.append([size, entries, agents, times[2] * 1000, times[-1] * 1000, idle_call_rate, calls / 5,
                         calls / elapsed])
    print_table("Time (ms) from the accepted edit until it is in force in every process, and store calls",
                ["processes", "entries", "agents", "median of 5", "max", "calls/s without edits", "calls an edit",
                 "calls/s with edits"], rows)


def store_counts(cluster):
    counts = http_json(cluster.store, "GET", "/admin/counts")[1]
    return {name: counts[name] for name in ("reads", "writes", "watches")}


def time_to_apply(cluster, addresses):
    """Returns the seconds until every process reports the store's version of the configuration; fails after 20."""
    started = time.monotonic()
    version = http_json(cluster.store, "GET", "/v1/objects/config/current")[1]["version"]

    def wait(address):
        wait_until(lambda: http_json(address, "GET", "/status")[1]["config_version"] >= version, 20, address)
        return time.monotonic()

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        return max(pool.map(wait, addresses)) - started


# --- idle -------------------------------------------------------------------

def idle(options):
    rows = []
    for peers in (4, 16, 48):
        for role, entries, agents in (("entry", 1, peers), ("agent", peers, 1)):
            with PartiallyConnectedCluster(entries=entries, models=0, plain=agents, domains=1, trainers=[]) as cluster:
                process = cluster.entries[0]["process"] if role == "entry" else cluster.upstreams[0].agent
                pid = process.popen.pid
                time.sleep(3)
                cpu, _ = read_process_usage(pid)
                received, sent = socket_bytes(pid)
                started = time.monotonic()
                time.sleep(10)
                elapsed = time.monotonic() - started
                cpu_after, resident = read_process_usage(pid)
                received_after, sent_after = socket_bytes(pid)
                rows.append([role, peers, 100 * (cpu_after - cpu) / elapsed, resident,
                             (received_after - received) / elapsed / 1000, (sent_after - sent) / elapsed / 1000])
    print_table("An idle process against the number of its peers",
                ["role", "peers", "CPU % of a core", "MiB", "KB/s received", "KB/s sent"], rows)


def socket_bytes(pid):
    """Returns (received, sent) bytes of the process's open TCP connections, from the kernel's counters."""
    text = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, timeout=10).stdout
    received = sent = 0
    for line in re.sub(r"\n\s+", " ", text).splitlines():
        if f"pid={pid}," not in line:
            continue
        received += int((re.search(r"bytes_received:(\d+)", line) or [0, 0])[1])
        sent += int((re.search(r"bytes_sent:(\d+)", line) or [0, 0])[1])
    return received, sent


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    commands = parser.add_subparsers(dest="command", required=True)
    sub = commands.add_parser("overhead")
    sub.add_argument("--entries", type=int, nargs="+", default=[1, 3])
    sub = commands.add_parser("compare")
    sub.add_argument("--builds", nargs=2, required=True, help="two build folders")
    sub.add_argument("--rounds", type=int, default=4)
    sub = commands.add_parser("overload")
    sub.add_argument("--threads", type=int, default=600, help="client connections")
    sub.add_argument("--http-threads", type=int, default=512, help="setting of the entries")
    sub.add_argument("--part", choices=["plain", "live", "both"], default="both")
    sub.add_argument("--deadline-ms", type=int, default=500)
    sub = commands.add_parser("stragglers")
    sub.add_argument("--steps", type=int, default=4)
    sub.add_argument("--rounds", type=int, default=1)
    sub = commands.add_parser("configuration")
    sub.add_argument("--sizes", type=int, nargs="+", default=[8, 16, 32, 64], help="entries and agents in all")
    commands.add_parser("idle")
    options = parser.parse_args()
    started = time.monotonic()
    globals()[options.command](options)
    print(f"\n{time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
