"""What befalls the system during a run. Each scenario is a function of the
cluster that runs beside the load; it returns what it observed, as text."""

import time

from cluster import call

FAULT_SECONDS = 4.0


def steady(cluster):
    return ""


def slow_replica(cluster):
    """One leaf takes ten times as long from the start."""
    leaf = next(iter(cluster.leaves.values()))
    call("PUT", leaf["address"], "/control", {"slow_factor": 10})
    return f"{leaf['name']} ten times as slow"


def lost_vm(cluster):
    """One daemon is killed; callers are not sent to it, as by a balancer."""
    time.sleep(FAULT_SECONDS)
    name = lost_vm_name(cluster)
    cluster.daemons[name]["process"].kill()
    return f"{name} killed after {FAULT_SECONDS:.0f} s"


def lost_vm_name(cluster):
    return list(cluster.daemons)[0]


def draining_leaf(cluster):
    """One leaf drains; health shows it only 5 s later."""
    time.sleep(FAULT_SECONDS)
    leaf = next(iter(cluster.leaves.values()))
    call("PUT", leaf["address"], "/control", {
        "state": "draining", "refuses_when_draining": False,
        "health_lag_ms": 5000})
    time.sleep(2.0)
    _, at_2_s = call("GET", leaf["address"], "/control/runs?request_id=none")
    time.sleep(3.0)
    _, at_5_s = call("GET", leaf["address"], "/control/runs?request_id=none")
    late = at_5_s["arrived"] - at_2_s["arrived"]
    return (f"{leaf['name']} drained after {FAULT_SECONDS:.0f} s: "
            f"{at_2_s.get('arrived_while_draining', 0)} new requests in the "
            f"first 2 s, {late} in the 3 s after")


def version_change(cluster):
    """Index version 2 is loaded leaf by leaf, then version 1 is dropped."""
    time.sleep(FAULT_SECONDS)
    for versions in (("1:1", "2:1"), ("2:1",)):
        for name, leaf in cluster.leaves.items():
            key_range = range_of(cluster, name)
            call("PUT", leaf["address"], "/control", {
                "holdings": ",".join(f"{v}:{key_range}" for v in versions)})
        time.sleep(3.0)
    return "version 1 to 2, leaf by leaf, twice over all leaves"


def range_of(cluster, leaf_name):
    """The range of a leaf called COLLECTION-sSHARD-rREPLICA."""
    collection, shard, _ = leaf_name.rsplit("-", 2)
    shards = cluster.user["collections"][collection]["shards"]
    index = int(shard[1:])
    return f"{65536 * index // shards}-{65536 * (index + 1) // shards}"


def store_outage(cluster):
    """The platform refuses every call for six seconds."""
    time.sleep(FAULT_SECONDS)
    call("PUT", cluster.platform, "/control/faults", {"outage": "refuse"})
    time.sleep(6.0)
    call("PUT", cluster.platform, "/control/faults", {"outage": "none"})
    return "store out for 6 s"


SCENARIOS = {
    "steady": steady,
    "slow_replica": slow_replica,
    "lost_vm": lost_vm,
    "draining_leaf": draining_leaf,
    "version_change": version_change,
    "store_outage": store_outage,
}


def undisturbed(cluster, step):
    del cluster, step


def blackout(cluster, step):
    """All leaves shed everything from the third to the fourth step."""
    if step in (2, 4):
        refuse = "shed" if step == 2 else ""
        for leaf in cluster.leaves.values():
            call("PUT", leaf["address"], "/control", {"refuse": refuse})


# The offered load of each step, and what is done before a step.
TIMELINES = {
    "surge": ([0.7, 0.7, 2.0, 2.0, 2.0, 0.7, 0.7, 0.7, 0.7], undisturbed),
    "blackout": ([0.7] * 8, blackout),
}
