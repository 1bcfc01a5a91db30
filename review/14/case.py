"""The pool's lease moves twice within its length: see claim.txt."""
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stage3  # pylint: disable=wrong-import-position
from stage3 import TROUBLE, platform, wait_for

GATEWAYS = 4
MODELS = ["m%d" % i for i in range(6)]
CUT_S = 1
ROUNDS = 5
# Longer than the time until a stopped process is back.
PAUSE_S = 5
LOAD_S = 0.9  # as on the small deployments
LEASE_S = 3


class Replica(platform.Engine):
    """A model replica that doesn't check fencing tokens (require-fence is false). Records each order."""

    def __init__(self, store, stage, name):
        self.stage = stage
        self.loading = None  # (model, version, until)
        self.orders = []  # (time, holder, fencing token)
        super().__init__(store, name, "pool", {model: 1 for model in MODELS})

    def busy(self):
        with self.lock:
            if self.loading and time.monotonic() >= self.loading[2]:
                self.versions[self.loading[0]] = self.loading[1]
                self.loading = None
                threading.Thread(target=self.update_entry, daemon=True).start()
            return self.loading is not None

    def loaded(self):
        self.busy()
        return dict(self.versions)

    def run(self, request, body):
        if request.path != "/report":
            return super().run(request, body)
        busy = self.busy()
        return request.respond(200, {
            "stage": "hybrid", "busy": busy, "seq": self.accepted_orders, "queue-depth": 0, "in-flight": 0,
            "kv-used": 0, "kv-total": 1000, "handles": 0, "born": 1000,
            "models": [{"name": m, "version": v} for m, v in self.versions.items()]})

    def order(self, request, order):
        busy = self.busy()
        with self.lock:
            if busy or order["precondition"] != self.accepted_orders:
                status = 409
            elif self.versions[order["model"]] == order["version"]:
                status = 200
            else:
                status = 202
                self.accepted_orders += 1
                self.loading = (order["model"], order["version"], time.monotonic() + LOAD_S)
            self.orders.append((time.monotonic(), order["holder"], order["fence"]))
        self.stage.note("%s: order from %s, fence %d: %s version %d -> %d" % (
            self.replica_id, order["holder"], order["fence"], order["model"], order["version"], status))
        request.respond(status, {})


class Proxy:
    """Forwards connections to a target. While it is cut, it resets open and new connections."""

    def __init__(self, target):
        self.target = ("127.0.0.1", target)
        self.is_cut = False
        self.lock = threading.Lock()
        self.sockets = set()
        port = stage3.free_port()
        self.listener = socket.create_server(("127.0.0.1", port), backlog=64)
        self.address = "127.0.0.1:%d" % port
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        with self.lock:
            self.is_cut = True
            for end in list(self.sockets):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def heal(self):
        with self.lock:
            self.is_cut = False

    def close(self):
        self.cut()
        self.listener.close()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(self.target, timeout=2)
            except OSError:
                if self.listener.fileno() < 0:
                    return
                client.close()
                continue
            server.settimeout(None)
            with self.lock:
                if self.is_cut:
                    client.close()
                    server.close()
                    continue
                self.sockets.update((client, server))
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    def forward(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        with self.lock:
            self.sockets.difference_update((source, sink))


def turns(orders):
    """Returns the orders with which a holder acts again within the length of the lease, after another has acted."""
    found = []
    for i, (at, holder, _) in enumerate(orders):
        earlier = [j for j in range(i) if orders[j][1] == holder and at - orders[j][0] < LEASE_S]
        if earlier and any(orders[j][1] != holder for j in range(earlier[0], i)):
            found.append(orders[i])
    return found


def disturb(stage, replica, proxies, numbers):
    first = wait_for(lambda: replica.orders, what="an order")[-1][1]
    stage.note("%s is cut off from the store for %d s" % (first, CUT_S))
    proxies[numbers[first]].cut()
    threading.Timer(CUT_S, proxies[numbers[first]].heal).start()
    wait_for(lambda: replica.orders[-1][1] != first, what="an order of another holder")
    second = replica.orders[-1][1]
    stage.note("%s gets SIGTERM" % second)
    stage.gateways[numbers[second]].process.send_signal(signal.SIGTERM)


def run(stage):
    replica = stage.add(Replica(stage.store, stage, "engine-0"))
    for i in range(2):
        stage.add(platform.UnaryReplica(stage.store, "desk-%d" % i, "desk"))
    config = platform.configuration(1)
    config["services"][0]["engine"]["models"] = [{"name": model} for model in MODELS]
    stage.configure(config)
    proxies = [stage.add(Proxy(int(stage.store.address.split(":")[1]))) for _ in range(GATEWAYS)]
    stage.start_gateways(GATEWAYS, [proxy.address for proxy in proxies])
    wait_for(lambda: any("event=scheduler_started" in g.log_text() for g in stage.gateways), what="a scheduler")
    time.sleep(4)
    numbers = {gateway.name: number for number, gateway in enumerate(stage.gateways)}
    found = []
    for version in range(2, 2 + ROUNDS):
        replica.orders.clear()
        for model in MODELS:
            stage.store.put("versions", model, {"model": model, "version": version})
        stage.note("version %d of %d models is named" % (version, len(MODELS)))
        if TROUBLE:
            disturb(stage, replica, proxies, numbers)
        wait_for(lambda: all(v == version for v in replica.loaded().values()), limit=20, what="the loads")
        time.sleep(PAUSE_S)
        for _, holder, fence in turns(replica.orders):
            found.append(holder)
            stage.note("%s acts again within %d s, after another holder (fence %d)" % (holder, LEASE_S, fence))
        if found:
            break
    return bool(found)


stage3.play(FOLDER, run)
