"""First configurations of the two user organisations."""

from apricotpost import model
from standins import fleet

__all__ = [
    "BALTKALNS",
    "CITATNIK",
    "SERVICES",
    "start_organisation",
]

_BALTKALNS_DATA_CENTRES = ("riga-a", "riga-b", "riga-c", "riga-d")
_CITATNIK_DATA_CENTRES = ("zagreb", "split", "osijek")

# Number of backend servers of each service, and slots of each of them.
SERVICES = {
    "baltkalns": ({"portal": 4, "fieldbook": 4, "certdesk": 4}, 12),
    "citatnik": ({"preview-svc": 5, "export-svc": 4, "library-svc": 3}, 18),
}


def _make_service(name: str, team: str) -> model.Service:
    share = model.VersionShare(version="v1", share=model.TOTAL_SHARE)
    return model.Service(name=name, team=team, versions=(share,))


def _make_read_route(
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


def _make_write_route(name: str, service: str, prefix: str) -> model.Route:
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
        _make_service(name, "baltkalns")
        for name in ("certdesk", "fieldbook", "portal")
    ),
    routes=(
        _make_write_route("certificates", "certdesk", "/certificates"),
        _make_write_route("defect-reports", "fieldbook", "/reports"),
        _make_read_route("records", "portal", "/records"),
    ),
    data_centres=tuple(
        model.DataCentre(name=name, region="lv-riga")
        for name in _BALTKALNS_DATA_CENTRES
    ),
)

CITATNIK = model.Snapshot(
    version=1,
    services=tuple(
        _make_service(name, "citatnik")
        for name in ("export-svc", "library-svc", "preview-svc")
    ),
    routes=(
        _make_write_route("bibliographies", "library-svc", "/bibliographies"),
        _make_write_route("exports", "export-svc", "/exports"),
        _make_read_route("previews", "preview-svc", "/previews"),
        _make_read_route(
            "source-records", "library-svc", "/source-records", internal=True
        ),
        _make_read_route(
            "style-rules", "library-svc", "/style-rules", internal=True
        ),
    ),
    data_centres=tuple(
        model.DataCentre(name=name, region="hr-central")
        for name in sorted(_CITATNIK_DATA_CENTRES)
    ),
)


def start_organisation(
    open_fleet: fleet.Fleet, user: str, *, slots: int | None = None
) -> None:
    """Commit an organisation's configuration and start its instances."""
    snapshot = BALTKALNS if user == "baltkalns" else CITATNIK
    fleet.commit_first_snapshot(open_fleet, snapshot)
    services, user_slots = SERVICES[user]
    data_centres = snapshot.data_centres
    instance_number = 0
    for service, count in services.items():
        for index in range(count):
            data_centre = data_centres[instance_number % len(data_centres)]
            instance_number += 1
            fleet.start_member(
                open_fleet,
                instance=f"{service}-{index}",
                data_centre=data_centre.name,
                region=data_centre.region,
                service=service,
                version="v1",
                behaviour={"slots": slots or user_slots},
            )
