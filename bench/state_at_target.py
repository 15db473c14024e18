"""Memory and processor time of a node's state at the target fleet size.

The view and the routing table are built at a quarter, half and all of the
target size, which shows the cost per instance and per service.
"""

from collections.abc import Callable
import dataclasses
import time
import tracemalloc
import typing

import msgspec

from apricotpost import config
from apricotpost import model
from apricotpost import routing
from apricotpost import wire

__all__ = ["make_view", "run"]

TARGET_INSTANCES = 1200
TARGET_SERVICES = 81
ROUTES_PER_SERVICE = 4
DATA_CENTRE_COUNT = 6
REPEATS = 20
CHANGES_PER_DAY = 3300
SECONDS_PER_DAY = 86_400
# Records change when instances are replaced, fail or report a new version;
# the control task publishes at most this many views per second.
VIEWS_PER_SECOND = 1.0
TARGET_CORES = 0.016


def make_view(instances: int, services: int) -> model.View:
    """Return a ready view of the given size."""
    snapshot = config.with_checksum(_make_snapshot(services))
    records = tuple(
        _make_record(number, services) for number in range(instances)
    )
    return model.View(snapshot=snapshot, instances=records, ready=True)


def run(full: bool) -> dict[str, typing.Any]:
    """Measure the state at three sizes.

    Returns
    -------
    dict
        The value is the fraction of a processor core that applying changes
        and building routing tables takes at the target fleet size.
    """
    raw = [
        _measure(TARGET_INSTANCES // divisor, TARGET_SERVICES // divisor)
        for divisor in (4, 2, 1)
    ]
    largest = raw[-1]
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    value = (
        largest["apply_ms"] * changes_per_second
        + largest["table_ms"] * VIEWS_PER_SECOND
    ) / 1000
    return {
        "name": "state_at_target",
        "value": value,
        "unit": "cores",
        "target": TARGET_CORES,
        "holds": value <= TARGET_CORES,
        "raw": raw,
    }


def _measure(instances: int, services: int) -> dict[str, float]:
    tracemalloc.start()
    view = make_view(instances, services)
    view_bytes, _ = tracemalloc.get_traced_memory()
    table = routing.build_table(view)
    view_and_table_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    next_snapshot = _next_version(view.snapshot)
    delta = config.compute_delta(view.snapshot, next_snapshot)
    message = wire.ConfigDelta(sender="portal-0", deltas=(delta,))
    del table
    return {
        "instances": instances,
        "services": services,
        "view_kb": view_bytes / 1024,
        "table_kb": (view_and_table_bytes - view_bytes) / 1024,
        "snapshot_kb": len(msgspec.msgpack.encode(view.snapshot)) / 1024,
        "record_bytes": len(msgspec.msgpack.encode(view.instances[0])),
        "delta_bytes": sum(map(len, wire.encode(message))),
        "apply_ms": _measure_ms(
            lambda: config.apply_delta(view.snapshot, delta)
        ),
        "table_ms": _measure_ms(lambda: routing.build_table(view)),
    }


def _measure_ms(operation: Callable[[], object]) -> float:
    started_seconds = time.process_time()
    for _ in range(REPEATS):
        operation()
    return (time.process_time() - started_seconds) / REPEATS * 1000


def _next_version(snapshot: model.Snapshot) -> model.Snapshot:
    """Change the shares of one service, as a step of a rollout does."""
    first = snapshot.services[0]
    versions = (
        model.VersionShare(version="v1", share=950),
        model.VersionShare(version="v2", share=50),
    )
    service = dataclasses.replace(first, versions=versions)
    rollout = model.Rollout(
        identifier="rollout-1",
        service=first.name,
        old="v1",
        new="v2",
        state=model.RolloutState.RUNNING,
        share=50,
        started_at=0.0,
        finish_by=3600.0,
        changed_at=0.0,
    )
    return config.with_checksum(
        dataclasses.replace(
            snapshot,
            version=snapshot.version + 1,
            services=(service, *snapshot.services[1:]),
            rollouts=(rollout,),
        )
    )


def _make_snapshot(services: int) -> model.Snapshot:
    versions = (model.VersionShare(version="v1", share=model.TOTAL_SHARE),)
    names = [f"service-{number:02}" for number in range(services)]
    return model.Snapshot(
        version=1,
        services=tuple(
            model.Service(name=name, team="team", versions=versions)
            for name in names
        ),
        routes=tuple(
            model.Route(
                name=f"{name}-{number}",
                service=name,
                prefix=f"/{name}/{number}",
                methods=("GET",),
                idempotent=True,
            )
            for name in names
            for number in range(ROUTES_PER_SERVICE)
        ),
        data_centres=tuple(
            model.DataCentre(name=f"dc{number}", region=f"r{number % 2}")
            for number in range(DATA_CENTRE_COUNT)
        ),
    )


def _make_record(number: int, services: int) -> model.InstanceRecord:
    return model.InstanceRecord(
        instance=f"instance-{number:04}",
        data_centre=f"dc{number % DATA_CENTRE_COUNT}",
        region=f"r{number % 2}",
        call_address=f"tcp://10.0.{number // 250}.{number % 250}:7001",
        control_address=f"tcp://10.0.{number // 250}.{number % 250}:7002",
        service=f"service-{number % services:02}",
        version="v1",
        incarnation=1_700_000_000_000_000_000 + number,
        state=model.InstanceState.UP,
        slots=12,
        config_version=1,
    )
