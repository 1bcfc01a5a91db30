"""Client load that records the responses, and checks of these records against the run counts of the upstreams."""

import http.client
import json
import random
import threading
import time

from processes import http_call, http_json


class DepositCallers:
    """Threads that post deposits and retry each failed one through a random entry.

    Deposits carry an idempotency key unless keyed is False; without a key a retry could run a deposit twice.
    outcomes[id] is "ok" (answered 200 with the right body), "not-run" (every attempt was answered with not-run
    or its connection was refused) or "unknown".
    """

    def __init__(self, entries, seed, threads=4, deposits_each=20, attempts=6, pause_s=0.02,
                 keyed=True):
        self.entries = [e["http"] for e in entries]
        self.seed = seed
        self.deposits_each = deposits_each
        self.attempts = attempts
        self.pause_s = pause_s
        self.keyed = keyed
        assert keyed or attempts == 1, "a deposit without an idempotency key must not be retried"
        self.outcomes = {}
        self.wrong_responses = []
        self.rejections = {}
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
            assert not thread.is_alive(), "a client is still waiting for its response"
        return self

    def _run(self, number):
        rng = random.Random(f"{self.seed}/{number}")
        for i in range(self.deposits_each):
            deposit_id = f"d-{self.seed}-{number}-{i}"
            start_time = time.monotonic()
            outcome = self._deposit(deposit_id, rng)
            with self.lock:
                self.outcomes[deposit_id] = outcome
                self.latencies.append(time.monotonic() - start_time)
            time.sleep(self.pause_s * rng.random())

    def _deposit(self, deposit_id, rng):
        proven_not_run = True
        key = {"Idempotency-Key": deposit_id} if self.keyed else {}
        for _ in range(self.attempts):
            entry = rng.choice(self.entries)
            try:
                status, headers, body = http_call(
                    entry, "POST", "/counter/deposits", json.dumps({"id": deposit_id}),
                    {"Content-Type": "application/json", "X-Request-Timeout-Ms": "10000", **key}, timeout=15)
            except (OSError, http.client.HTTPException) as error:
                proven_not_run = proven_not_run and isinstance(error, ConnectionRefusedError)
                time.sleep(0.1)
                continue
            if status == 200:
                return self._check_response(deposit_id, body)
            verdict = headers.get("Cardamom-Verdict", "absent")
            proven_not_run = proven_not_run and verdict == "not-run"
            with self.lock:
                reason = f"{status} {verdict} {body[:200].decode(errors='replace')}"
                self.rejections[reason] = self.rejections.get(reason, 0) + 1
            time.sleep(0.1 + 0.2 * rng.random())
        return "not-run" if proven_not_run else "unknown"

    def _check_response(self, deposit_id, body):
        try:
            if json.loads(body)["key"] == (deposit_id if self.keyed else ""):
                return "ok"
        except (ValueError, KeyError):
            pass
        with self.lock:
            self.wrong_responses.append((deposit_id, body[:200]))
        return "unknown"


def service_runs(upstreams):
    """Returns the runs of each id, summed over all plain services."""
    total = {}
    for upstream in upstreams:
        if upstream.kind != "plain":
            continue
        for deposit_id, count in http_json(upstream.address, "GET", "/admin/runs")[1]["runs"].items():
            total[deposit_id] = total.get(deposit_id, 0) + count
    return total


def check_deposits(test, callers, runs):
    """Checks the outcomes that the clients observed against the runs of the services; returns outcome counts."""
    context = f"seed {callers.seed}; rejections {callers.rejections}"
    test.assertEqual([], callers.wrong_responses, context)
    for deposit_id, outcome in callers.outcomes.items():
        count = runs.get(deposit_id, 0)
        test.assertLessEqual(count, 1, f"{deposit_id} ran {count} times; {context}")
        if outcome == "ok":
            test.assertEqual(1, count, f"{deposit_id} was answered successfully but did not run; {context}")
        if outcome == "not-run":
            test.assertEqual(0, count, f"{deposit_id} was answered with not-run but ran; {context}")
    return {o: sum(1 for v in callers.outcomes.values() if v == o) for o in ("ok", "not-run", "unknown")}


def stream_completion(entry, prompt, max_tokens, on_chunk=None, timeout=60):
    """Streams a completion. Returns (text, whether the end marker was received, error)."""
    host, port = entry.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    text, done, error = "", False, None
    try:
        connection.request("POST", "/v1/completions", json.dumps(
            {"model": "notes", "prompt": prompt, "max_tokens": max_tokens, "stream": True}),
            {"Content-Type": "application/json"})
        response = connection.getresponse()
        if response.status != 200:
            return "", False, f"{response.status} {response.read()[:300]}"
        for raw in response:
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
    except (OSError, http.client.HTTPException) as exception:
        error = repr(exception)
    finally:
        connection.close()
    return text, done, error


def reference_completion(engine, prompt, max_tokens):
    """Returns the text that the engine generates when it is called directly."""
    _, _, body = http_call(engine, "POST", "/generate",
                           {"request_id": f"direct-{prompt}", "prompt": prompt, "max_tokens": max_tokens,
                            "priority": 0}, timeout=60)
    lines = [json.loads(line) for line in body.decode().splitlines() if line.strip()]
    return "".join(line.get("token", "") for line in lines)
