"""A route that needs single versions. A replica drains while its peers change weights, and the scheduler is stopped."""
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2  # noqa: E402
from engines2 import Engine, Trainer  # noqa: E402
from stage2 import platform, wait_for  # noqa: E402
from steps2 import STEP_S, judge_step  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
EVENTS, INTERVAL_S = 64, 0.05  # 3.2 s an item
SERVES_S = 12.5  # a replica that drains serves for the bound on leaving replicas and, at times, many seconds longer


def configuration():
    config = platform.configuration(1)
    for route in config["routes"]:
        if route["kind"] == "rollout":
            route["single-version"] = True
    return config


def scheduler_of(gateways):
    """Returns the gateway whose scheduler has started last."""
    started = [gateway for gateway in gateways if "event=scheduler_started" in gateway.log_text()]
    if not started:
        return None
    return max(started, key=lambda gateway: [
        line for line in gateway.log_text().splitlines() if "event=scheduler_started" in line][-1])


def play(stage):
    store = stage.keep(platform.ObjectStore())
    store.put("config", "main", configuration())
    engines = [stage.keep(Engine(stage, store, zone, "engine-" + zone, "pool", {"m": 1}, EVENTS, INTERVAL_S))
               for zone in ZONES]
    for i in range(2):
        stage.keep(platform.UnaryReplica(store, "desk-%d" % i, "desk"))
    gateways = [stage.add("gateway", "edge-%s" % zone, zone, store.address) for zone in ZONES]
    for zone in ZONES:
        stage.add("reserve", "storage-%s" % zone, zone, store.address)
    for gateway in gateways:
        wait_for(gateway.is_ready, 20, "a gateway is not ready")
    time.sleep(4)
    holder = wait_for(lambda: scheduler_of(gateways), 10, "there is no scheduler")
    trainer = Trainer(stage, [gateway for gateway in gateways if gateway is not holder], "m", "/train/",
                      Engine.SLOTS * len(engines))
    # The trainer asks its steps ahead: version 2 is named while this step is open.
    items = trainer.submit(1, 1)
    if items is None:
        raise stage2.CannotRun("the step was not accepted")
    submitted = stage.record.now()
    time.sleep(0.1)
    if stage2.TROUBLE:
        engines[2].leave(SERVES_S)
    time.sleep(0.1)
    store.put("versions", "m", {"model": "m", "version": 2})
    named = stage.record.now()
    stage.record.line("version 2 named")
    time.sleep(0.7)
    steady = stage.record.now()
    if stage2.TROUBLE:
        holder.signal(signal.SIGTERM)
        steady += stage.bound("contact-ms") / 1000
    results = trainer.read(1, submitted + STEP_S)
    for result in results:
        if len(result.get("versions", [0])) != 1:
            stage.record.line("several versions: %s %s" % (result["id"], result["versions"]))
    return stage2.BROKEN if judge_step(stage, engines, items, results, named, steady) else stage2.HELD


if __name__ == "__main__":
    stage2.main(pathlib.Path(__file__).resolve().parent, play)
