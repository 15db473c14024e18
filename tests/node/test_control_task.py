"""Tests of two control tasks in one process, each with its own context."""

import contextlib
import dataclasses
import random
import threading
import time
import unittest

import zmq

from apricotpost import config
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import control
from apricotpost.node import views
from apricotpost import settings
from apricotpost import wire
from standins import fleet as fleets

__all__ = ["ControlTaskTest"]

WAIT_SECONDS = 30.0
ROLLOUT = model.Rollout(
    identifier="r1",
    service="portal",
    old="v1",
    new="v2",
    state=model.RolloutState.RUNNING,
    share=10,
    started_at=0.0,
    finish_by=9e9,
    changed_at=0.0,
)
SERVICE = model.Service(
    name="portal",
    team="t",
    versions=(
        model.VersionShare(version="v1", share=990),
        model.VersionShare(version="v2", share=10),
    ),
)
EVIDENCE = model.Evidence(
    instance="a",
    service="portal",
    version="v2",
    route="records",
    epoch=1,
    calls=3,
    failures=1,
    latency_counts=(3,),
)
LOAD = model.Load(in_flight=0, limit=1, queued=0)


def make_snapshot(version, rollouts):
    return config.with_checksum(
        model.Snapshot(version=version, services=(SERVICE,), rollouts=rollouts)
    )


@dataclasses.dataclass(kw_only=True)
class Node:
    """Control task under test, and the sockets of the tasks around it."""

    current: views.CurrentView
    platform: wire.sockets.Socket
    rollout: wire.sockets.Socket
    commands: wire.sockets.Socket

    def answer_reads(self, snapshot):
        """Reply to the pending table reads with a snapshot."""
        while self.platform.poll(0):
            identity, message = wire.sockets.receive_routed(self.platform)
            newer = snapshot if snapshot.version > message.have else None
            config_read = wire.ConfigRead(
                available=True, head=snapshot.version, snapshot=newer
            )
            wire.sockets.send_routed(self.platform, identity, config_read)

    def receive_evidence_senders(self):
        """Return the senders of the evidence received so far."""
        senders = set()
        while self.rollout.poll(0):
            _, message = wire.sockets.receive_routed(self.rollout)
            senders.add(message.sender)
        return senders


class ControlTaskTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        ports = [f"127.0.0.1:{port}" for port in fleets.free_ports(4)]
        self.snapshot = make_snapshot(1, ())
        self.a = self.start("a", ports[0], ports[1], ())
        self.b = self.start("b", ports[2], ports[3], (ports[1],))
        for node in (self.a, self.b):
            self.announce(node)
        self.wait_for(
            lambda: all(
                [entry.state for entry in node.current.view.instances]
                == [model.InstanceState.UP] * 2
                and node.current.view.ready
                for node in (self.a, self.b)
            )
        )

    def start(self, name, call, port, seeds):
        context = self.stack.enter_context(wire.sockets.make_context())
        options = settings.NodeSettings(
            instance=name,
            data_centre="dc1",
            region="r",
            addresses=settings.AddressSettings(
                ingress="", local="", admin="", call=call, control=port
            ),
            platform=settings.PlatformSettings(table_url="", object_url=""),
            seeds=seeds,
            times=settings.TimeSettings(join_seconds=0.1),
        )
        enter = self.stack.enter_context
        platform = enter(wire.sockets.bind_router(context, addresses.PLATFORM))
        rollout = enter(wire.sockets.bind_router(context, addresses.ROLLOUT))
        current = views.CurrentView(
            view=model.View(snapshot=model.EMPTY_SNAPSHOT)
        )
        thread = threading.Thread(
            target=control.run,
            kwargs={
                "context": context,
                "current": current,
                "options": options,
                "rng": random.Random(name),
            },
        )
        thread.start()
        commands = enter(
            wire.sockets.connect_dealer(context, addresses.CONTROL)
        )
        self.stack.callback(thread.join)
        self.stack.callback(wire.sockets.send, commands, wire.StopTask())
        return Node(
            current=current,
            platform=platform,
            rollout=rollout,
            commands=commands,
        )

    def announce(self, node, version="v2"):
        message = wire.BackendServerAnnounced(
            service="portal",
            version=version,
            address="127.0.0.1:1",
            slots=4,
            connections=4,
        )
        wire.sockets.send(node.commands, message)

    def report(self, *, up=True):
        message = wire.GateReport(
            load=LOAD, backend_server_up=up, evidence=(EVIDENCE,)
        )
        wire.sockets.send(self.a.commands, message)

    def wait_for(self, condition):
        end = time.monotonic() + WAIT_SECONDS
        while not condition():
            self.assertLess(time.monotonic(), end)
            for node in (self.a, self.b):
                node.answer_reads(self.snapshot)
            time.sleep(0.02)

    def put_in_force(self, snapshot):
        self.snapshot = snapshot
        committed = wire.ConfigCommitted(version=snapshot.version)
        wire.sockets.send(self.a.commands, committed)
        self.wait_for(
            lambda: all(
                node.current.view.snapshot == snapshot
                for node in (self.a, self.b)
            )
        )

    def test_evidence_goes_to_peers_of_a_rollout_only(self):
        """Guards against evidence sent to peers while no rollout is open."""
        self.report()
        self.wait_for(lambda: self.a.receive_evidence_senders() == {"a"})
        self.put_in_force(make_snapshot(2, (ROLLOUT,)))
        self.assertEqual(set(), self.b.receive_evidence_senders())
        self.report()
        self.wait_for(lambda: self.b.receive_evidence_senders() == {"a"})

    def test_withdrawal_reaches_the_view_of_both(self):
        """Guards against a peer that still chooses a withdrawn version."""
        self.put_in_force(make_snapshot(2, (ROLLOUT,)))
        withdrawal = model.Withdrawal(
            rollout="r1", service="portal", version="v2", reason="", at=1.0
        )
        notice = wire.WithdrawalNotice(sender="", withdrawals=(withdrawal,))
        wire.sockets.send(self.b.commands, notice)
        nodes = (self.a, self.b)
        self.wait_for(
            lambda: all(
                node.current.view.withdrawals == (withdrawal,)
                for node in nodes
            )
        )
        ended = dataclasses.replace(
            ROLLOUT, state=model.RolloutState.WITHDRAWN
        )
        self.put_in_force(make_snapshot(3, (ended,)))
        for node in nodes:
            self.assertEqual((), node.current.view.withdrawals)

    def test_lost_backend_server_is_down_for_callers(self):
        """Guards against calls to a node whose backend server is lost."""

        def states():
            view = self.b.current.view
            return [entry.state.value for entry in view.instances]

        # Reports are ignored right after an announcement, because they may
        # be older than it.
        self.wait_for(lambda: self.report(up=False) or states()[0] == "down")
        self.announce(self.a, "v3")
        self.wait_for(lambda: states() == ["up", "up"])

    def test_view_is_replaced_for_callers_only(self):
        """Guards against lookup tables that are rebuilt for each probe."""
        before = self.b.current.view
        a, b = before.instances
        newer = dataclasses.replace(a, incarnation=a.incarnation + 5)
        context = self.stack.enter_context(wire.sockets.make_context())
        peer = self.stack.enter_context(
            wire.sockets.connect_control_peer(context, b.control_address)
        )
        ping = wire.Ping(sender="a", sequence=0, records=(newer,))
        wire.sockets.send(peer, ping)
        self.assertTrue(peer.poll(WAIT_SECONDS * 1000, zmq.POLLIN))
        self.assertIs(before, self.b.current.view)

    def test_status_includes_the_cost_of_the_control_task(self):
        """Guards against a status without the cost of the control task."""
        wire.sockets.send(self.a.commands, wire.StatusRequest())
        self.assertTrue(self.a.commands.poll(WAIT_SECONDS * 1000, zmq.POLLIN))
        status = wire.sockets.receive(self.a.commands)
        counters = dict(status.counters)
        self.assertGreater(counters["sent_bytes"], 0)
        self.assertGreater(counters["table_reads"], 0)
        self.assertEqual(2, len(status.instances))
