"""The two users' tables of services and classes, scaled to one machine.

Scale: service times and latency targets are eight times those of an archive
whose leaves answer in 5 ms, so that slots and not processors are the bottleneck;
slots, connections, opening costs and one-way delays are as stated. Of the
services that share leaves, those that compete are kept: the urgent class and the
one that should give way. Delays between regions are not added on peer links.
"""

SERVICE_MS = 40
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10


def service(shards, replicas, slots, connections, connect_ms):
    return {
        "shards": shards, "replicas": replicas, "regions": "r1,r2,r3",
        "failure_domains": "r1a,r2a,r3a", "slots": slots,
        "connections": connections, "queue_limit": 8,
        "service_ms": SERVICE_MS, "straggler_share": STRAGGLER_SHARE,
        "straggler_factor": STRAGGLER_FACTOR, "delay_ms": 0.5,
        "connect_ms": connect_ms,
    }


def work_class(collection, share, latency_ms, percentile, coverage):
    """`share` is its part of the offered load on the collection."""
    return {
        "collection": collection, "share": share, "latency_ms": latency_ms,
        "percentile": percentile, "coverage": coverage,
        "coverage_percentile": 99.0, "deadline_ms": 2 * latency_ms,
    }


USERS = {
    "courier": {
        "collections": {
            "proofs": service(10, 3, 2, 25, 6),
            "counter": service(5, 2, 2, 100, 1),
        },
        "classes": {
            "dispute-desk": work_class("proofs", 0.6, 500, 99.0, 1.0),
            "reconciliation": work_class("proofs", 0.4, 3000, 95.0, 1.0),
            "counter-lookup": work_class("counter", 0.6, 400, 99.0, 1.0),
            "archive-audit": work_class("counter", 0.4, 6000, 90.0, 1.0),
        },
    },
    "genealogy": {
        "collections": {
            "origins": service(10, 3, 2, 25, 6),
            "gyorsjel": service(5, 2, 3, 40, 1),
        },
        "classes": {
            "portal": work_class("origins", 0.6, 800, 99.0, 1.0),
            "partner-sync": work_class("origins", 0.4, 4000, 95.0, 1.0),
            "registry-clerk": work_class("gyorsjel", 0.6, 400, 99.0, 1.0),
            "audit-desk": work_class("gyorsjel", 0.4, 6000, 90.0, 1.0),
        },
    },
}

URGENT = {"dispute-desk", "counter-lookup", "portal", "registry-clerk"}


def capacity(service_row):
    """Queries per second that the slots of one shard can do."""
    mean_ms = SERVICE_MS * (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1))
    slots = service_row["replicas"] * service_row["slots"]
    return slots * 1000.0 / mean_ms


def rates(user, load):
    """Offered queries per second of each class at `load`."""
    return {
        name: load * row["share"] *
        capacity(user["collections"][row["collection"]])
        for name, row in user["classes"].items()
    }
