"""End-to-end tests with separate processes, without faults."""

import http.client
import json
import signal
import subprocess
import time
import unittest

from processes import BUILD, Cluster, http_call, http_json, metric
from workload import DepositCallers, check_deposits, reference_completion, service_runs, stream_completion


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster()
        cls.cluster.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.cluster.__exit__(None, None, None)

    def entry(self):
        return self.cluster.entries[0]["http"]

    def test_plain_call_is_forwarded_unchanged(self):
        """Guards against a lost or altered method or path, and against a response without its request id."""
        status, headers, body = http_call(self.entry(), "GET", "/counter/lots/7?page=2",
                                          headers={"X-Lot": "7"})
        response = json.loads(body)
        self.assertEqual((200, "GET"), (status, response["method"]))
        self.assertEqual("/counter/lots/7?page=2", response["path"])
        self.assertIn("X-Request-Id", headers)

    def test_large_response_is_complete(self):
        """Guards against a response that is truncated at a buffer or flow control window size."""
        min_bytes = 3 * 1024 * 1024
        status, _, body = http_call(self.entry(), "POST", "/counter/notes",
                                    {"id": "large", "answer_bytes": min_bytes}, timeout=30)
        self.assertEqual(200, status)
        self.assertGreaterEqual(len(body), min_bytes)

    def test_completion_equals_direct_engine_output(self):
        """Guards against lost, duplicated or reordered tokens."""
        engine = next(u for u in self.cluster.upstreams if u.kind == "model").address
        expected = reference_completion(engine, "seal the attic", 40)
        text, done, error = stream_completion(self.entry(), "seal the attic", 40)
        self.assertEqual((expected, True, None), (text, done, error))
        status, response = http_json(self.entry(), "POST", "/v1/completions",
                                   {"model": "notes", "prompt": "seal the attic", "max_tokens": 40})
        self.assertEqual((200, expected), (status, response["choices"][0]["text"]))

    def test_sighup_terminates_no_process(self):
        """Guards against an entry or an agent that exits on SIGHUP."""
        processes = [entry["process"] for entry in self.cluster.entries]
        processes += [upstream.agent for upstream in self.cluster.upstreams]
        for process in processes:
            process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertEqual([], [process.name for process in processes if not process.alive()])

    def test_deposits_run_once(self):
        """Guards against lost or duplicated deposits in the absence of faults."""
        callers = DepositCallers(self.cluster.entries, "plain", deposits_each=10).start().join()
        counts = check_deposits(self, callers, service_runs(self.cluster.upstreams))
        self.assertEqual(40, counts["ok"], callers.rejections)

    def test_repeated_key_returns_the_same_response(self):
        """Guards against a second run when a keyed request is repeated through another entry."""
        responses = []
        for entry in self.cluster.entries:
            status, _, body = http_call(entry["http"], "POST", "/counter/deposits", {"id": "twice"},
                                        {"Idempotency-Key": "twice"})
            self.assertEqual(200, status, body)
            responses.append(body)
        self.assertEqual(responses[0], responses[1])
        self.assertEqual(1, service_runs(self.cluster.upstreams)["twice"])

    def test_trainer_step(self):
        """Guards against missing, duplicate, stale or mislabelled samples."""
        done = subprocess.run(
            [BUILD / "standin_trainer", "--entry", self.entry(), "--entry", self.cluster.entries[1]["http"],
             "--trainer", "t1", "--steps", "2", "--groups", "4", "--samples-per-group", "4",
             "--max-tokens", "20", "--publish", "--weights-source", self.cluster.weights],
            capture_output=True, text=True, timeout=60)
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        steps = [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")]
        self.assertEqual([16, 16], [s["samples"] for s in steps])
        for step in steps:
            self.assertEqual((0, 0, 0), (step["duplicates"], step["stale"], step["mislabelled"]), step)

    def test_invalid_request_is_rejected_with_a_reason(self):
        """Guards against crashes, and errors without a reason, on invalid requests."""
        entry = self.entry()
        cases = [
            ("POST", "/v1/completions", "{", 400),
            ("POST", "/v1/completions", json.dumps({"model": "notes", "prompt": 7}), 400),
            ("POST", "/v1/completions", json.dumps({"model": "absent", "prompt": "x", "max_tokens": 1}), 404),
            ("GET", "/absent", None, 404),
            ("POST", "/v1/trainers/absent/steps/1/draw", "{}", 404),
        ]
        for method, path, body, expected in cases:
            status, headers, data = http_call(entry, method, path, body)
            self.assertEqual(expected, status, (method, path, data))
            error = json.loads(data)["error"]
            self.assertTrue(error["reason"], data)
            self.assertEqual("not-run", headers["Cardamom-Verdict"])
        status, headers, data = http_call(entry, "POST", "/counter/deposits", {"id": "bad-key"},
                                          {"Idempotency-Key": "k" * 500})
        self.assertEqual(400, status, data)
        self.assertNotIn("bad-key", service_runs(self.cluster.upstreams))
        self.assertGreaterEqual(metric(entry, "requests_refused_total"), 6)

    def test_oversized_body_is_rejected(self):
        """Guards against unbounded memory use for one request."""
        try:
            status, _, _ = http_call(self.entry(), "POST", "/counter/notes", b"x" * (5 * 1024 * 1024), timeout=30)
        except (OSError, http.client.HTTPException):
            status = 413  # The server may close the connection before the body has been sent.
        self.assertEqual(413, status)
        self.assertEqual(200, http_call(self.entry(), "GET", "/healthz")[0])


if __name__ == "__main__":
    unittest.main()
