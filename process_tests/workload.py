"""Callers that keep a record of what they were told, and its check against the upstreams' own counts."""

import http.client
import json
import random
import threading
import time

from processes import http_call, http_json


class DepositCallers:
    """Threads that post deposits, with an idempotency key unless told otherwise, and repeat them through any entry.

    outcomes[id] is "ok" (answered 200 with the right body), "not-run" (every
    attempt was answered not-run) or "unknown".
    """

    def __init__(self, entries, seed, threads=4, deposits_each=20, attempts=6, pause_s=0.02,
                 keyed=True):
        self.entries = [e["http"] for e in entries]
        self.seed = seed
        self.deposits_each = deposits_each
        self.attempts = attempts
        self.pause_s = pause_s
        self.keyed = keyed
        assert keyed or attempts == 1, "only a keyed deposit may be repeated"
        self.outcomes = {}
        self.wrong_answers = []
        self.refusals = {}
        self.latencies = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(threads)]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def join(self, timeout_s=120):
        end = time.monotonic() + timeout_s
        for thread in self.threads:
            thread.join(max(0.1, end - time.monotonic()))
            assert not thread.is_alive(), "a caller is still waiting for its answer"
        return self

    def _run(self, number):
        rng = random.Random(f"{self.seed}/{number}")
        for i in range(self.deposits_each):
            identity = f"d-{self.seed}-{number}-{i}"
            began = time.monotonic()
            outcome = self._deposit(identity, rng)
            with self.lock:
                self.outcomes[identity] = outcome
                self.latencies.append(time.monotonic() - began)
            time.sleep(self.pause_s * rng.random())

    def _deposit(self, identity, rng):
        certain_not_run = True
        key = {"Idempotency-Key": identity} if self.keyed else {}
        for _ in range(self.attempts):
            entry = rng.choice(self.entries)
            try:
                status, headers, body = http_call(
                    entry, "POST", "/counter/deposits", json.dumps({"id": identity}),
                    {"Content-Type": "application/json", "X-Request-Timeout-Ms": "10000", **key}, timeout=15)
            except (OSError, http.client.HTTPException) as error:
                certain_not_run = certain_not_run and isinstance(error, ConnectionRefusedError)
                time.sleep(0.1)
                continue
            if status == 200:
                return self._check(identity, body)
            verdict = headers.get("Cardamom-Verdict", "absent")
            certain_not_run = certain_not_run and verdict == "not-run"
            with self.lock:
                reason = f"{status} {verdict} {body[:200].decode(errors='replace')}"
                self.refusals[reason] = self.refusals.get(reason, 0) + 1
            time.sleep(0.1 + 0.2 * rng.random())
        return "not-run" if certain_not_run else "unknown"

    def _check(self, identity, body):
        try:
            if json.loads(body)["key"] == (identity if self.keyed else ""):
                return "ok"
        except (ValueError, KeyError):
            pass
        with self.lock:
            self.wrong_answers.append((identity, body[:200]))
        return "unknown"


def service_runs(upstreams):
    """Runs per id over all plain services, by their own counts."""
    total = {}
    for upstream in upstreams:
        if upstream.kind != "plain":
            continue
        for identity, count in http_json(upstream.address, "GET", "/admin/runs")[1]["runs"].items():
            total[identity] = total.get(identity, 0) + count
    return total


def check_deposits(test, callers, runs):
    """Compares what callers were told with what the services did."""
    seed = f"seed {callers.seed}; refusals {callers.refusals}"
    test.assertEqual([], callers.wrong_answers, seed)
    for identity, outcome in callers.outcomes.items():
        count = runs.get(identity, 0)
        test.assertLessEqual(count, 1, f"{identity} ran {count} times; {seed}")
        if outcome == "ok":
            test.assertEqual(1, count, f"{identity} was answered but did not run; {seed}")
        if outcome == "not-run":
            test.assertEqual(0, count, f"{identity} was answered not-run but ran; {seed}")
    return {o: sum(1 for v in callers.outcomes.values() if v == o) for o in ("ok", "not-run", "unknown")}


def stream_completion(entry, prompt, max_tokens, on_chunk=None, timeout=60):
    """Streams one completion; returns (text, done, error)."""
    host, port = entry.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    text, done, error = "", False, None
    try:
        connection.request("POST", "/v1/completions", json.dumps(
            {"model": "notes", "prompt": prompt, "max_tokens": max_tokens, "stream": True}),
            {"Content-Type": "application/json"})
        answer = connection.getresponse()
        if answer.status != 200:
            return "", False, f"{answer.status} {answer.read()[:300]}"
        for raw in answer:
            line = raw.decode().strip()
            if not line.startswith("data: "):
                continue
            if line == "data: [DONE]":
                done = True
                break
            event = json.loads(line[6:])
            if "error" in event:
                error = event["error"]
                continue
            text += event["choices"][0]["text"]
            if on_chunk:
                on_chunk(text)
    except (OSError, http.client.HTTPException) as failure:
        error = repr(failure)
    finally:
        connection.close()
    return text, done, error


def direct_completion(engine, prompt, max_tokens):
    """The text that the engine itself gives, for comparison."""
    _, _, body = http_call(engine, "POST", "/generate",
                           {"request_id": f"direct-{prompt}", "prompt": prompt, "max_tokens": max_tokens,
                            "priority": 0}, timeout=60)
    lines = [json.loads(line) for line in body.decode().splitlines() if line.strip()]
    return "".join(line.get("token", "") for line in lines)
