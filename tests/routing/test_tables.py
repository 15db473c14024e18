"""Tests of the routing tables."""

import dataclasses
import unittest

from apricotpost import model
from apricotpost import routing
from apricotpost.routing import tables

__all__ = ["TableTest"]

SERVER = model.InstanceRecord(
    instance="i1",
    data_centre="riga-a",
    region="lv-riga",
    call_address="tcp://127.0.0.1:1",
    control_address="tcp://127.0.0.1:2",
    service="portal",
    version="v1",
    state=model.InstanceState.UP,
    slots=4,
)
CENTRE = model.DataCentre(name="riga-a", region="lv-riga")


def build(record, *, centre=CENTRE):
    snapshot = model.Snapshot(version=1, data_centres=(centre,))
    view = model.View(snapshot=snapshot, instances=(record,), ready=True)
    return tables.build_table(view).backend_servers


class TableTest(unittest.TestCase):
    def test_data_centre_that_is_out_gets_no_calls(self):
        """Guards against new calls to a data centre that is out of service."""
        out = dataclasses.replace(CENTRE, state=model.DataCentreState.OUT)
        self.assertEqual({("portal", "v1"): (SERVER,)}, build(SERVER))
        self.assertEqual({}, build(SERVER, centre=out))

    def test_leaving_and_dead_servers_get_no_calls(self):
        """Guards against new calls to leaving, down or starting servers."""
        for state in ("leaving", "down", "starting"):
            record = dataclasses.replace(
                SERVER, state=model.InstanceState(state)
            )
            self.assertEqual({}, build(record), state)

    def test_longest_prefix_matches(self):
        """Guards against a call that is sent to another route's service."""
        routes = tuple(
            model.Route(
                name=name,
                service="portal",
                prefix=prefix,
                methods=("GET",),
                idempotent=True,
            )
            for name, prefix in (("all", "/a"), ("some", "/a/b"))
        )
        view = model.View(snapshot=model.Snapshot(version=1, routes=routes))
        table = tables.build_table(view)
        found = {
            path: getattr(
                routing.match_route(table, method="GET", path=path),
                "name",
                None,
            )
            for path in ("/a", "/a/x", "/a/b/c", "/a/bc", "/ab", "/")
        }
        self.assertEqual(
            {
                "/a": "all",
                "/a/x": "all",
                "/a/b/c": "some",
                "/a/bc": "all",
                "/ab": None,
                "/": None,
            },
            found,
        )
