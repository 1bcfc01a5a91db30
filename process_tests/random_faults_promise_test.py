"""Runs all kinds of load under a seeded random schedule of single faults and pairs of faults.

Guards against promises that are broken only when several faults are combined.
"""

import http.client
import json
import os
import pathlib
import random
import threading
import time
import unittest

from failure_promise_test import check_trainer, model_upstreams, plain_upstreams, run_trainer
from processes import Cluster, http_call, http_json, wait_until
from workload import DepositCallers, check_deposits, reference_completion, service_runs, stream_completion

SEED = os.environ.get("CARDAMOM_SEED", "1")
FAULT_WINDOW_S = 32
COMPLETION_TOKENS = 80
PROMPTS = 8
# Exit codes of cardamomctl.
APPLIED, CONFLICT, UNAVAILABLE, UNKNOWN = 0, 4, 5, 6


class FaultInjector:
    """Injects faults and ends each one. Records the faults and every process that exited unexpectedly."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.start_time = time.monotonic()
        self.records = []
        self.unexpected_exits = []
        self.edit_exit_codes = {}
        self.lock = threading.Lock()
        self.fault_types = [self.kill_agent, self.kill_entry, self.pause_process, self.close_connections,
                            self.stall_connections, self.store_outage, self.slow_store, self.lose_responses,
                            self.crash_engine, self.fail_swap, self.make_concurrent_edits]

    def run(self):
        """Injects one or two faults at a time, drawn from a shuffled list of all types, so that each type occurs
        about once in the time window."""
        queue = []
        while time.monotonic() < self.start_time + FAULT_WINDOW_S:
            count = self.rng.choice((1, 2, 2))
            if len(queue) < count:
                queue = self.rng.sample(self.fault_types, len(self.fault_types))
            threads = []
            for _ in range(count):
                inject, rng = queue.pop(), random.Random(self.rng.random())
                threads.append(threading.Thread(target=inject, args=(rng,), daemon=True))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(60)
                assert not thread.is_alive(), f"a fault did not end: {self.records}"
            time.sleep(0.5 * self.rng.random())
        return self

    def record(self, kind, target="", seconds=0.0):
        with self.lock:
            self.records.append(f"{time.monotonic() - self.start_time:.1f}s {kind} {target} {seconds:.1f}s")

    def check_alive(self, process):
        if not process.alive():
            with self.lock:
                self.unexpected_exits.append(f"{process.name} exited with {process.popen.returncode}")

    def kill_agent(self, rng):
        upstream = rng.choice(self.cluster.upstreams)
        duration_s = rng.uniform(0, 1.5)
        self.record("kill", f"agent {upstream.name}", duration_s)
        self.check_alive(upstream.agent)
        upstream.agent.kill()
        time.sleep(duration_s)
        self.cluster.start_agent(upstream)

    def kill_entry(self, rng):
        entry = rng.choice(self.cluster.entries)
        duration_s = rng.uniform(0, 1.5)
        self.record("kill", entry["name"], duration_s)
        self.check_alive(entry["process"])
        entry["process"].kill()
        time.sleep(duration_s)
        self.cluster.start_entry(entry)

    def pause_process(self, rng):
        process = rng.choice([u.agent for u in self.cluster.upstreams] + [e["process"] for e in self.cluster.entries])
        duration_s = rng.uniform(1, 6)
        self.record("pause", process.name, duration_s)
        process.pause()
        time.sleep(duration_s)
        process.resume()

    def close_connections(self, rng):
        for upstream in rng.sample(self.cluster.upstreams, 2):
            self.record("close connections", upstream.name)
            upstream.relay.close_connections()

    def stall_connections(self, rng):
        for upstream in rng.sample(self.cluster.upstreams, 2):
            self.record("stall connections", upstream.name)
            upstream.relay.stall_connections()
        time.sleep(rng.uniform(0, 4))

    def set_store_faults(self, settings):
        http_call(self.cluster.store, "POST", "/admin", settings)

    def store_outage(self, rng):
        duration_s = rng.uniform(1, 5)
        self.record("store outage", "", duration_s)
        self.set_store_faults({"outage": True})
        time.sleep(duration_s)
        self.set_store_faults({"outage": False})

    def slow_store(self, rng):
        duration_s, delay_ms = rng.uniform(1, 4), rng.choice((100, 500, 2500))
        self.record("slow store", f"{delay_ms} ms", duration_s)
        self.set_store_faults({"delay_ms": delay_ms})
        time.sleep(duration_s)
        self.set_store_faults({"delay_ms": 0})

    def lose_responses(self, rng):
        count = rng.randint(1, 6)
        self.record("lost write responses", count, 1.0)
        self.set_store_faults({"lose_write_answers": count})
        time.sleep(1.0)
        self.set_store_faults({"lose_write_answers": 0})

    def crash_engine(self, rng):
        engine = rng.choice(model_upstreams(self.cluster))
        duration_s = rng.uniform(0.2, 2)
        self.record("engine crash", engine.name, duration_s)
        http_call(engine.address, "POST", "/admin", {"crash": True})
        time.sleep(duration_s)
        http_call(engine.address, "POST", "/admin", {"crash": False})

    def fail_swap(self, rng):
        engine = rng.choice(model_upstreams(self.cluster))
        self.record("failed swap", engine.name)
        try:
            http_call(engine.address, "POST", "/admin", {"fail_next_swap": True})
        except (OSError, http.client.HTTPException):
            pass  # The engine is down because of a concurrent fault.

    def make_concurrent_edits(self, rng):
        self.record("concurrent edits")
        number = len(self.edit_exit_codes)
        editors = [threading.Thread(target=self.edit, args=(f"editor-{number + n}", 15000 + number + n))
                   for n in range(2)]
        for editor in editors:
            editor.start()
        for editor in editors:
            editor.join()

    def edit(self, author, timeout_ms):
        directory = pathlib.Path(self.cluster.directory.name)
        rules = json.loads(json.dumps(self.cluster.rules))
        rules["routes"][0]["timeout_ms"] = timeout_ms
        (directory / f"{author}.csv").write_text(self.cluster.inventory())
        (directory / f"{author}.json").write_text(json.dumps(rules))
        code, _ = self.cluster.ctl("--author", author, "apply", directory / f"{author}.csv",
                                   directory / f"{author}.json", check=False)
        with self.lock:
            self.edit_exit_codes[author] = code


class Completions:
    """Clients that request completions until stopped; half of them use streaming."""

    def __init__(self, cluster, threads=4):
        self.entries = [e["http"] for e in cluster.entries]
        self.stopped = threading.Event()
        self.results = []
        self.threads = [threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(threads)]
        for thread in self.threads:
            thread.start()

    def _run(self, number):
        rng = random.Random(f"{SEED}/completions/{number}")
        while not self.stopped.is_set():
            entry, prompt = rng.choice(self.entries), f"prompt {rng.randrange(PROMPTS)}"
            call = stream_completion if number % 2 == 0 else self._request_unstreamed
            self.results.append((prompt, *call(entry, prompt, COMPLETION_TOKENS)))
            time.sleep(0.1 + 0.2 * rng.random())

    @staticmethod
    def _request_unstreamed(entry, prompt, max_tokens):
        try:
            status, response = http_json(entry, "POST", "/v1/completions", {
                "model": "notes", "prompt": prompt, "max_tokens": max_tokens}, timeout=60)
            if status == 200:
                return response["choices"][0]["text"], True, None
            return "", False, f"{status} {response}"
        except (OSError, http.client.HTTPException, ValueError) as error:
            return "", False, repr(error)

    def check(self, test, engine):
        self.stopped.set()
        for thread in self.threads:
            thread.join(90)
            test.assertFalse(thread.is_alive(), "a client is still waiting")
        expected = {f"prompt {n}": reference_completion(engine, f"prompt {n}", COMPLETION_TOKENS)
                    for n in range(PROMPTS)}
        for prompt, text, done, error in self.results:
            if done and error is None:
                test.assertEqual(expected[prompt], text, "an incomplete completion ended without an error")
            else:
                test.assertTrue(expected[prompt].startswith(text), f"{prompt}: {error}: wrong bytes {text[:200]}")
        return sum(1 for _, _, done, error in self.results if done and error is None), len(self.results)


class ConfigurationMonitor:
    """Polls the configuration version of every process, and records each decrease within the life of a process."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.decreases = []
        self.highest_versions = {}
        self.stopped = threading.Event()
        readers = [(lambda e=e: e["process"], e["http"]) for e in cluster.entries]
        readers += [(lambda u=u: u.agent, u.agent_http) for u in cluster.upstreams]
        for process, address in readers:
            threading.Thread(target=self._run, args=(process, address), daemon=True).start()

    def _run(self, process, address):
        while not self.stopped.wait(0.1):
            pid = process().popen.pid
            try:
                version = http_json(address, "GET", "/status", timeout=8)[1]["config_version"]
            except (OSError, http.client.HTTPException, ValueError, KeyError, TypeError):
                continue
            if process().popen.pid != pid:
                continue
            if version < self.highest_versions.get(pid, 0):
                self.decreases.append((process().name, self.highest_versions[pid], version))
            self.highest_versions[pid] = max(version, self.highest_versions.get(pid, 0))


class RandomFaultsTest(unittest.TestCase):
    def test_promises_under_random_faults(self):
        """Promises 1 to 6 and 9 under overlapping faults."""
        with Cluster(relays=True, engine_args=["--ms-per-token", "8"], service_args=["--delay-ms", "20"]) as cluster:
            faults = FaultInjector(cluster, random.Random(SEED))
            monitor = ConfigurationMonitor(cluster)
            trainer = run_trainer(cluster, steps=20, tokens=40, extra=["--train-ms", "500"])
            completions = Completions(cluster)
            keyed = DepositCallers(cluster.entries, f"{SEED}k", deposits_each=60, attempts=15, pause_s=1.0).start()
            unkeyed = DepositCallers(cluster.entries, f"{SEED}u", deposits_each=150, attempts=1, pause_s=0.4,
                                     keyed=False).start()
            try:
                faults.run()
                self.check_all(cluster, faults, monitor, trainer, completions, (keyed, unkeyed))
            finally:
                print(f"seed {SEED}: {len(faults.records)} faults: {'; '.join(faults.records)}")
                trainer.kill()
                trainer.communicate()

    def check_all(self, cluster, faults, monitor, trainer, completions, deposits):
        cluster.wait_connected()
        completed, total = completions.check(self, model_upstreams(cluster)[0].address)
        deposit_counts = []
        for callers in deposits:
            callers.join()
            deposit_counts.append(check_deposits(self, callers, service_runs(plain_upstreams(cluster))))
        steps = check_trainer(self, trainer, 16, timeout_s=120)
        self.assertEqual(20, len(steps))
        self.check_processes(cluster, faults)
        self.check_configuration(cluster, faults, monitor)
        print(f"seed {SEED}: deposits keyed {deposit_counts[0]}, unkeyed {deposit_counts[1]}; "
              f"completions complete {completed} of {total}; steps {len(steps)}; edits {faults.edit_exit_codes}")
        # A system that rejected all requests would pass the checks above.
        self.assertGreaterEqual(deposit_counts[0]["ok"], 200, deposits[0].rejections)
        self.assertGreater(completed, total / 2)

    def check_processes(self, cluster, faults):
        for process in cluster.processes.values():
            faults.check_alive(process)
            self.assertNotIn("invariant", process.read_log())
        self.assertEqual([], faults.unexpected_exits)

    def check_configuration(self, cluster, faults, monitor):
        """Checks that the history contains each edit that was reported as applied, and none reported as rejected."""
        history = json.loads(cluster.ctl("history", "--json")[1])
        entries = history["history"] if isinstance(history, dict) else history
        written = [entry["author"] for entry in entries]
        for author, code in faults.edit_exit_codes.items():
            self.assertIn(code, (APPLIED, CONFLICT, UNAVAILABLE, UNKNOWN), author)
            if code != UNKNOWN:
                self.assertEqual(code == APPLIED, author in written, f"{author} exit {code}")
        newest = max(entry["version"] for entry in entries)
        wait_until(lambda: all(http_json(a, "GET", "/status")[1]["config_version"] == newest for a in
                               [e["http"] for e in cluster.entries] + [u.agent_http for u in cluster.upstreams]),
                   4, f"configuration {newest} in every process")
        monitor.stopped.set()
        self.assertEqual([], monitor.decreases)


if __name__ == "__main__":
    unittest.main()
