"""All kinds of load under a random schedule of faults, singly and in pairs, from one seed.

Guards against promises that hold under each fault alone but not under a combination.
"""

import http.client
import json
import os
import pathlib
import random
import threading
import time
import unittest

from failure_promise_test import check_trainer, models, plains, run_trainer
from processes import Cluster, http_call, http_json, wait_until
from workload import DepositCallers, check_deposits, direct_completion, service_runs, stream_completion

SEED = os.environ.get("CARDAMOM_SEED", "1")
FAULT_WINDOW_S = 32
COMPLETION_TOKENS = 80
PROMPTS = 8
# Exit codes of cardamomctl.
APPLIED, CONFLICT, UNAVAILABLE, UNKNOWN = 0, 4, 5, 6


class Faults:
    """Injects faults and lifts each one; records what it did and every process that was found dead."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.began = time.monotonic()
        self.trace = []
        self.exits = []
        self.edits = {}
        self.lock = threading.Lock()
        self.kinds = [self.kill_agent, self.kill_entry, self.freeze, self.cut, self.silence, self.store_outage,
                      self.slow_store, self.lose_answers, self.crash_engine, self.fail_swap, self.race_edits]

    def run(self):
        """Each kind occurs about once in a window; a pair starts at the same time."""
        queue = []
        while time.monotonic() < self.began + FAULT_WINDOW_S:
            count = self.rng.choice((1, 2, 2))
            if len(queue) < count:
                queue = self.rng.sample(self.kinds, len(self.kinds))
            threads = []
            for _ in range(count):
                inject, rng = queue.pop(), random.Random(self.rng.random())
                threads.append(threading.Thread(target=inject, args=(rng,), daemon=True))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(60)
                assert not thread.is_alive(), f"a fault was not lifted: {self.trace}"
            time.sleep(0.5 * self.rng.random())
        return self

    def note(self, kind, target="", seconds=0.0):
        with self.lock:
            self.trace.append(f"{time.monotonic() - self.began:.1f}s {kind} {target} {seconds:.1f}s")

    def check_alive(self, process):
        if not process.alive():
            with self.lock:
                self.exits.append(f"{process.name} ended with {process.popen.returncode}")

    def kill_agent(self, rng):
        upstream = rng.choice(self.cluster.upstreams)
        pause = rng.uniform(0, 1.5)
        self.note("kill", f"agent {upstream.name}", pause)
        self.check_alive(upstream.agent)
        upstream.agent.kill()
        time.sleep(pause)
        self.cluster.start_agent(upstream)

    def kill_entry(self, rng):
        entry = rng.choice(self.cluster.entries)
        pause = rng.uniform(0, 1.5)
        self.note("kill", entry["name"], pause)
        self.check_alive(entry["process"])
        entry["process"].kill()
        time.sleep(pause)
        self.cluster.start_entry(entry)

    def freeze(self, rng):
        process = rng.choice([u.agent for u in self.cluster.upstreams] + [e["process"] for e in self.cluster.entries])
        pause = rng.uniform(1, 6)
        self.note("freeze", process.name, pause)
        process.freeze()
        time.sleep(pause)
        process.thaw()

    def cut(self, rng):
        for upstream in rng.sample(self.cluster.upstreams, 2):
            self.note("cut", upstream.name)
            upstream.relay.cut()

    def silence(self, rng):
        for upstream in rng.sample(self.cluster.upstreams, 2):
            self.note("silence", upstream.name)
            upstream.relay.silence()
        time.sleep(rng.uniform(0, 4))

    def store(self, order):
        http_call(self.cluster.store, "POST", "/admin", order)

    def store_outage(self, rng):
        pause = rng.uniform(1, 5)
        self.note("store outage", "", pause)
        self.store({"outage": True})
        time.sleep(pause)
        self.store({"outage": False})

    def slow_store(self, rng):
        pause, delay = rng.uniform(1, 4), rng.choice((100, 500, 2500))
        self.note("slow store", f"{delay} ms", pause)
        self.store({"delay_ms": delay})
        time.sleep(pause)
        self.store({"delay_ms": 0})

    def lose_answers(self, rng):
        count = rng.randint(1, 6)
        self.note("lost write answers", count, 1.0)
        self.store({"lose_write_answers": count})
        time.sleep(1.0)
        self.store({"lose_write_answers": 0})

    def crash_engine(self, rng):
        engine = rng.choice(models(self.cluster))
        pause = rng.uniform(0.2, 2)
        self.note("engine crash", engine.name, pause)
        http_call(engine.address, "POST", "/admin", {"crash": True})
        time.sleep(pause)
        http_call(engine.address, "POST", "/admin", {"crash": False})

    def fail_swap(self, rng):
        engine = rng.choice(models(self.cluster))
        self.note("failed swap", engine.name)
        try:
            http_call(engine.address, "POST", "/admin", {"fail_next_swap": True})
        except (OSError, http.client.HTTPException):
            pass  # The engine is down by another fault.

    def race_edits(self, rng):
        self.note("racing edits")
        number = len(self.edits)
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
            self.edits[author] = code


class Completions:
    """Callers that ask for completions, half of them streamed, until stopped."""

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
            call = stream_completion if number % 2 == 0 else self._whole
            self.results.append((prompt, *call(entry, prompt, COMPLETION_TOKENS)))
            time.sleep(0.1 + 0.2 * rng.random())

    @staticmethod
    def _whole(entry, prompt, max_tokens):
        try:
            status, answer = http_json(entry, "POST", "/v1/completions", {
                "model": "notes", "prompt": prompt, "max_tokens": max_tokens}, timeout=60)
            if status == 200:
                return answer["choices"][0]["text"], True, None
            return "", False, f"{status} {answer}"
        except (OSError, http.client.HTTPException, ValueError) as error:
            return "", False, repr(error)

    def check(self, test, engine):
        self.stopped.set()
        for thread in self.threads:
            thread.join(90)
            test.assertFalse(thread.is_alive(), "a caller is still waiting")
        expected = {f"prompt {n}": direct_completion(engine, f"prompt {n}", COMPLETION_TOKENS) for n in range(PROMPTS)}
        for prompt, text, done, error in self.results:
            if done and error is None:
                test.assertEqual(expected[prompt], text, "a normal end without the whole answer")
            else:
                test.assertTrue(expected[prompt].startswith(text), f"{prompt}: {error}: wrong bytes {text[:200]}")
        return sum(1 for _, _, done, error in self.results if done and error is None), len(self.results)


class ConfigurationWatch:
    """Reads the configuration version of every process; it must not fall within one process."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.falls = []
        self.highest = {}
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
            if version < self.highest.get(pid, 0):
                self.falls.append((process().name, self.highest[pid], version))
            self.highest[pid] = max(version, self.highest.get(pid, 0))


class RandomFaultsTest(unittest.TestCase):
    def test_promises_under_random_faults(self):
        """Promises 1 to 6 and 9 while faults overlap."""
        with Cluster(relays=True, engine_args=["--ms-per-token", "8"], service_args=["--delay-ms", "20"]) as cluster:
            faults = Faults(cluster, random.Random(SEED))
            watch = ConfigurationWatch(cluster)
            trainer = run_trainer(cluster, steps=20, tokens=40, extra=["--train-ms", "500"])
            completions = Completions(cluster)
            keyed = DepositCallers(cluster.entries, f"{SEED}k", deposits_each=60, attempts=15, pause_s=1.0).start()
            unkeyed = DepositCallers(cluster.entries, f"{SEED}u", deposits_each=150, attempts=1, pause_s=0.4,
                                     keyed=False).start()
            try:
                faults.run()
                self.check_all(cluster, faults, watch, trainer, completions, (keyed, unkeyed))
            finally:
                print(f"seed {SEED}: {len(faults.trace)} faults: {'; '.join(faults.trace)}")
                trainer.kill()
                trainer.communicate()

    def check_all(self, cluster, faults, watch, trainer, completions, deposits):
        cluster.wait_connected()
        whole, asked = completions.check(self, models(cluster)[0].address)
        told = []
        for callers in deposits:
            callers.join()
            told.append(check_deposits(self, callers, service_runs(plains(cluster))))
        steps = check_trainer(self, trainer, 16, timeout_s=120)
        self.assertEqual(20, len(steps))
        self.check_processes(cluster, faults)
        self.check_configuration(cluster, faults, watch)
        print(f"seed {SEED}: deposits keyed {told[0]}, unkeyed {told[1]}; completions whole {whole} of {asked}; "
              f"steps {len(steps)}; edits {faults.edits}")
        # Guards against a system that keeps its promises by refusing everything.
        self.assertGreaterEqual(told[0]["ok"], 200, deposits[0].refusals)
        self.assertGreater(whole, asked / 2)

    def check_processes(self, cluster, faults):
        for process in cluster.processes.values():
            faults.check_alive(process)
            self.assertNotIn("invariant", process.log_text())
        self.assertEqual([], faults.exits)

    def check_configuration(self, cluster, faults, watch):
        """An edit told as applied is in the history, one told as refused is not."""
        history = json.loads(cluster.ctl("history", "--json")[1])
        entries = history["history"] if isinstance(history, dict) else history
        written = [entry["author"] for entry in entries]
        for author, code in faults.edits.items():
            self.assertIn(code, (APPLIED, CONFLICT, UNAVAILABLE, UNKNOWN), author)
            if code != UNKNOWN:
                self.assertEqual(code == APPLIED, author in written, f"{author} exit {code}")
        newest = max(entry["version"] for entry in entries)
        wait_until(lambda: all(http_json(a, "GET", "/status")[1]["config_version"] == newest for a in
                               [e["http"] for e in cluster.entries] + [u.agent_http for u in cluster.upstreams]),
                   4, f"configuration {newest} everywhere")
        watch.stopped.set()
        self.assertEqual([], watch.falls)


if __name__ == "__main__":
    unittest.main()
