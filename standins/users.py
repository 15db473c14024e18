"""The two users at their sizes of today, as first configurations."""

from apricotpost import model
from standins import fleet

__all__ = [
    "BALTKALNS",
    "CITATNIK",
    "SERVICES",
    "start_user",
]

_BALTKALNS_CENTRES = ("riga-a", "riga-b", "riga-c", "riga-d")
_CITATNIK_CENTRES = ("zagreb", "split", "osijek")

# Backend servers of each service and slots of each backend server.
SERVICES = {
    "baltkalns": ({"portal": 4, "fieldbook": 4, "certdesk": 4}, 12),
    "citatnik": ({"preview-svc": 5, "export-svc": 4, "library-svc": 3}, 18),
}


def _service(name: str, team: str) -> model.Service:
    share = model.VersionShare(version="v1", share=model.TOTAL_SHARE)
    return model.Service(name=name, team=team, versions=(share,))


def _read(
    name: str, service: str, prefix: str, *, internal: bool = False
) -> model.Route:
    return model.Route(
        name=name,
        service=service,
        prefix=prefix,
        methods=("GET", "HEAD"),
        idempotent=True,
        internal=internal,
        timeout_ms=5000,
    )


def _write(name: str, service: str, prefix: str) -> model.Route:
    return model.Route(
        name=name,
        service=service,
        prefix=prefix,
        methods=("POST",),
        idempotent=False,
        timeout_ms=10_000,
    )


BALTKALNS = model.Snapshot(
    version=1,
    services=tuple(
        _service(name, "baltkalns")
        for name in ("certdesk", "fieldbook", "portal")
    ),
    routes=(
        _write("certificates", "certdesk", "/certificates"),
        _write("defect-reports", "fieldbook", "/reports"),
        _read("records", "portal", "/records"),
    ),
    data_centres=tuple(
        model.DataCentre(name=name, region="lv-riga")
        for name in _BALTKALNS_CENTRES
    ),
)

CITATNIK = model.Snapshot(
    version=1,
    services=tuple(
        _service(name, "citatnik")
        for name in ("export-svc", "library-svc", "preview-svc")
    ),
    routes=(
        _write("bibliographies", "library-svc", "/bibliographies"),
        _write("exports", "export-svc", "/exports"),
        _read("previews", "preview-svc", "/previews"),
        _read(
            "source-records", "library-svc", "/source-records", internal=True
        ),
        _read("style-rules", "library-svc", "/style-rules", internal=True),
    ),
    data_centres=tuple(
        model.DataCentre(name=name, region="hr-central")
        for name in sorted(_CITATNIK_CENTRES)
    ),
)


def start_user(
    open_fleet: fleet.Fleet, user: str, *, slots: int | None = None
) -> None:
    """Commit a user's configuration and start all of its instances."""
    snapshot = BALTKALNS if user == "baltkalns" else CITATNIK
    fleet.commit_first(open_fleet, snapshot)
    services, user_slots = SERVICES[user]
    centres = snapshot.data_centres
    number = 0
    for service, count in services.items():
        for index in range(count):
            centre = centres[number % len(centres)]
            number += 1
            fleet.start_member(
                open_fleet,
                instance=f"{service}-{index}",
                data_centre=centre.name,
                region=centre.region,
                service=service,
                version="v1",
                behaviour={"slots": slots or user_slots},
            )
