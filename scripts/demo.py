#!/usr/bin/env python3
"""Starts the emulators and the system on loopback, serves requests, prints what happened, stops all."""

import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
os.environ.setdefault("CARDAMOM_BUILD", str(ROOT / "build"))
sys.path.insert(0, str(ROOT / "process_tests"))

from processes import BUILD, Cluster, http_call, http_json  # noqa: E402
from workload import service_runs, stream_completion  # noqa: E402


def say(title, *lines):
    print(f"\n# {title}")
    for line in lines:
        print(f"  {line}")


def main():
    with Cluster(entries=2, models=2, plain=2) as cluster:
        first, second = (e["http"] for e in cluster.entries)
        say("processes", *[f"{p.name} (pid {p.popen.pid})" for p in cluster.processes.values()])

        status, headers, body = http_call(first, "POST", "/counter/deposits", {"id": "deposit-1"},
                                          {"Idempotency-Key": "deposit-1"})
        say("a deposit through the first entry", f"{status} {body.decode()}",
            f"request {headers['X-Request-Id']}")
        status, _, body = http_call(second, "POST", "/counter/deposits", {"id": "deposit-1"},
                                    {"Idempotency-Key": "deposit-1"})
        say("the same deposit again through the second entry", f"{status} {body.decode()}",
            f"runs counted by the services: {service_runs(cluster.upstreams)}")

        text, done, error = stream_completion(first, "Seal the attic hatch.", 12)
        say("a streamed completion", f"{text!r}", f"complete: {done}, error: {error}")

        trainer = subprocess.run(
            [BUILD / "standin_trainer", "--entry", first, "--entry", second, "--trainer", "t1", "--steps", "2",
             "--groups", "4", "--samples-per-group", "4", "--max-tokens", "20", "--publish",
             "--weights-source", cluster.weights],
            capture_output=True, text=True, timeout=60, check=False)
        say("two steps of a trainer", *trainer.stdout.splitlines())

        cluster.ctl("drain", "model-0")
        status, explained = http_json(first, "GET", "/explain?path=/v1/completions&method=POST&model=notes")
        say("after 'cardamomctl drain model-0'", f"{status} {json.dumps(explained)[:400]}")
        say("status by cardamomctl", *cluster.ctl("status")[1].splitlines())
        codes = [p.terminate() for name, p in cluster.processes.items() if name.startswith(("agent", "entry"))]
        say("graceful shutdown of entries and agents", f"exit codes {codes}")
        if trainer.returncode != 0 or any(codes):
            sys.exit("the demo did not run as expected")


if __name__ == "__main__":
    main()
