#!/usr/bin/env python3
"""Starts the emulators and the system on loopback, serves sample requests, prints the results and shuts down."""

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


def print_section(title, *lines):
    print(f"\n# {title}")
    for line in lines:
        print(f"  {line}")


def main():
    with Cluster(entries=2, models=2, plain=2) as cluster:
        first, second = (e["http"] for e in cluster.entries)
        print_section("processes", *[f"{p.name} (pid {p.popen.pid})" for p in cluster.processes.values()])

        status, headers, body = http_call(first, "POST", "/counter/deposits", {"id": "deposit-1"},
                                          {"Idempotency-Key": "deposit-1"})
        print_section("a deposit through the first entry", f"{status} {body.decode()}",
                      f"request {headers['X-Request-Id']}")
        status, _, body = http_call(second, "POST", "/counter/deposits", {"id": "deposit-1"},
                                    {"Idempotency-Key": "deposit-1"})
        print_section("the same deposit again through the second entry", f"{status} {body.decode()}",
                      f"runs counted by the services: {service_runs(cluster.upstreams)}")

        text, done, error = stream_completion(first, "Seal the attic hatch.", 12)
        print_section("a streamed completion", f"{text!r}", f"complete: {done}, error: {error}")

        trainer = subprocess.run(
            [BUILD / "standin_trainer", "--entry", first, "--entry", second, "--trainer", "t1", "--steps", "2",
             "--groups", "4", "--samples-per-group", "4", "--max-tokens", "20", "--publish",
             "--weights-source", cluster.weights],
            capture_output=True, text=True, timeout=60, check=False)
        print_section("two steps of a trainer", *trainer.stdout.splitlines())

        cluster.ctl("drain", "model-0")
        status, explained = http_json(first, "GET", "/explain?path=/v1/completions&method=POST&model=notes")
        print_section("after 'cardamomctl drain model-0'", f"{status} {json.dumps(explained)[:400]}")
        print_section("status by cardamomctl", *cluster.ctl("status")[1].splitlines())
        codes = [p.terminate() for name, p in cluster.processes.items() if name.startswith(("agent", "entry"))]
        print_section("graceful shutdown of entries and agents", f"exit codes {codes}")
        if trainer.returncode != 0 or any(codes):
            sys.exit("demo failed: the trainer or a terminated process returned a nonzero exit code")


if __name__ == "__main__":
    main()
