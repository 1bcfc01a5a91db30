"""Model engines for the scripts of the second review: those in platform/, with loads of weights that take time and
a record of runs."""
import base64
import json
import threading
import time

from stage2 import platform

LOAD_S = 0.9  # a change of version


class ZonedStore:
    """Registers a replica in its zone."""

    def __init__(self, store, zone):
        self.store, self.zone = store, zone

    def put(self, kind, name, spec=None, status=None):
        return self.store.put(kind, name, spec and {**spec, "zone": self.zone}, status)

    def remove(self, kind, name):
        self.store.remove(kind, name)


class Run:
    """One request at an engine."""

    def __init__(self, engine, request, started):
        self.engine, self.identity, self.started = engine, request.headers.get("Request-Id", ""), started
        self.model = request.headers.get("Model")
        self.resumed_after = request.headers.get("Last-Event-Id")
        self.ended = None
        self.complete = False


class Engine(platform.Engine):
    """Engine with slots, which carries out orders one at a time and checks their fencing tokens and order counts.

    While it does, it refuses requests for that model. An order that awaits runs begins when they have ended; with any
    other the runs go on under the new version.
    """

    SLOTS = 8

    def __init__(self, stage, store, zone, identity, service, models, events=12, interval=0.05):
        self.stage, self.runs, self.orders = stage, [], []
        self.loading, self.fence, self.alive = None, 0, True
        self.guard = threading.Lock()
        self.running = 0
        super().__init__(ZonedStore(store, zone), identity, service, models)
        self.EVENTS, self.event_interval = events, interval

    def order(self, request, order):
        with self.guard:
            self.orders.append((self.stage.record.now(), dict(order)))
            status = self.judge(order)
        self.stage.record.line("order at %s: %s version %d, holder %s, fence %d: %d" % (
            self.replica_id, order["model"], order["version"], order["holder"], order["fence"], status))
        request.respond(status, {})
        if status == 202:
            threading.Thread(target=self.carry_out, args=(order,), daemon=True).start()

    def judge(self, order):
        if order["model"] not in self.versions:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if self.loading or order["precondition"] != self.accepted_orders:
            return 409
        if self.versions[order["model"]] == order["version"]:
            return 200
        self.accepted_orders += 1
        self.loading = order["model"]
        return 202

    def carry_out(self, order):
        while order["mode"] == "await" and self.alive and self.running:
            time.sleep(0.01)
        time.sleep(LOAD_S)
        with self.guard:
            self.versions[order["model"]] = order["version"]
            self.loading = None
        self.stage.record.line("%s has %s version %d" % (self.replica_id, order["model"], order["version"]))
        self.update_entry()

    def run(self, request, body):
        if request.path in ("/report", "/order"):
            if request.path == "/report":
                self.report(request)
            else:
                self.order(request, json.loads(body))
            return
        with self.guard:
            full = self.running >= self.SLOTS or self.loading == request.headers.get("Model")
            self.running += not full
            run = Run(self, request, self.stage.record.now())
            if not full:
                self.runs.append(run)
        if full:
            request.respond(503, {}, [("Request-Id", run.identity), (self.stage.settings["refusal-header"], "1")])
            return
        try:
            self.stream(request)
            run.complete = True
        except OSError:
            request.close_connection = True
        finally:
            with self.guard:
                self.running -= 1
                run.ended = self.stage.record.now()

    def report(self, request):
        with self.guard:
            request.respond(200, {
                "stage": "hybrid", "busy": bool(self.loading), "seq": self.accepted_orders, "queue-depth": 0,
                "in-flight": self.running, "kv-used": 0, "kv-total": 90000, "handles": 0, "born": 1000,
                "models": [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()]})

    def leave(self, serves_s):
        """Reports that it drains, goes on for serves_s, and ends."""
        self.register("draining")
        self.stage.record.line("%s is draining" % self.replica_id)
        threading.Timer(serves_s, self.end).start()

    def end(self):
        self.alive = False
        self.unregister()
        self.stage.record.line("%s has left" % self.replica_id)
        self.close()


class Trainer:
    """Submits steps and reads their results at given gateways."""

    def __init__(self, stage, gateways, model, route, items):
        self.stage, self.gateways, self.model, self.route, self.items = stage, gateways, model, route, items
        self.calls = 0

    def gateway(self):
        self.calls += 1
        return self.gateways[self.calls % len(self.gateways)]

    def document(self, step, min_version):
        document = platform.job(step, self.items, min_version)
        document["model"] = self.model
        for item in document["items"]:
            item["id"] = "%s-%s" % (self.model, item["id"])
            item["path"] = self.route + item["id"]
            item["headers"]["Model"] = self.model
            item["body"] = base64.b64encode(b"prompt").decode()
            if item.get("scorer"):
                item["scorer"]["id"] = "%s-%s" % (self.model, item["scorer"]["id"])
        return document

    def submit(self, step, min_version):
        document = self.document(step, min_version)
        for _ in range(20):
            status = self.gateway().call("POST", self.route + "x", json.dumps(document),
                                         {"Request-Id": self.identity(step)})[0]
            self.stage.record.line("step %d of %s submitted, versions from %d: %d" % (
                step, self.model, min_version, status))
            if status == 202:
                return [item["id"] for item in document["items"]]
            time.sleep(0.2)
        return None

    def identity(self, step):
        return "%s-job-%d" % (self.model, step)

    def read(self, step, until):
        """Returns the results that are listed when all are, or at the time `until` of the record."""
        results = []
        while len(results) < self.items and self.stage.record.now() < until:
            try:
                status, body, _ = self.gateway().call(
                    "GET", "/lots/%s?after=%d" % (self.identity(step), len(results)), headers={"Wait-Ms": "500"})
            except OSError:
                status, body = None, b""
            if status == 200:
                results += json.loads(body)["results"]
            time.sleep(0.1)
        return results

    def end(self, step):
        status = self.gateway().call("DELETE", "/lots/" + self.identity(step))[0]
        self.stage.record.line("step %d of %s ended: %d" % (step, self.model, status))
