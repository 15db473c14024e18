"""Tests of the WSGI application that serves callers' requests."""

import dataclasses
import io
import socket
import threading
import unittest

from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import callers
from apricotpost.node import ingress
from apricotpost.node import keyed_calls
from apricotpost.node import views
from apricotpost import wire
from tests.node import loads

__all__ = ["IngressTest"]


class IngressTest(unittest.TestCase):
    def setUp(self):
        context = wire.sockets.make_context()
        self.addCleanup(context.term)
        self.router = wire.sockets.bind_router(context, addresses.DISPATCH)
        self.addCleanup(self.router.close)
        snapshot = loads.make_snapshot("portal")
        routes = snapshot.routes + (
            model.Route(
                name="records",
                service="portal",
                prefix="/portal/internal",
                methods=("GET",),
                idempotent=True,
                internal=True,
            ),
        )
        view = model.View(
            snapshot=dataclasses.replace(snapshot, routes=routes), ready=True
        )
        self.ingress = ingress.Ingress(
            context=context,
            current=views.CurrentView(view=view),
            instance="i1",
            trusted=False,
            keyed=keyed_calls.KeyedCalls(
                open_store=self.fail, table_slots=threading.Semaphore(1)
            ),
        )
        self.addCleanup(self.close_sockets)

    def close_sockets(self):
        for name in ("socket", "measurements"):
            socket = getattr(self.ingress.local, name, None)
            if socket is not None:
                socket.close()

    def call(self, path, *, method="GET", results=(), caller=None):
        """Call the application while a thread acts as the dispatch task."""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(),
            callers.SOCKET_KEY: caller,
        }
        response = {}

        def start(status, headers):
            response.update(status=status, headers=dict(headers))

        thread = threading.Thread(
            target=self.answer, args=(results, caller is not None)
        )
        thread.start()
        response["body"] = b"".join(
            ingress.make_app(self.ingress)(environ, start)
        )
        thread.join()
        return response

    def answer(self, results, caller_leaves):
        if results and self.router.poll(5000):
            identity, request = wire.sockets.receive_routed(self.router)
            if caller_leaves and self.router.poll(2000):
                self.notice = wire.sockets.receive_routed(self.router)[1]
            for result in results:
                name = result.request or request.request
                result = dataclasses.replace(result, request=name)
                wire.sockets.send_routed(self.router, identity, result)

    def make_result(self, **changes):
        result = wire.CallResult(
            request="", outcome=wire.Outcome.ANSWERED, status=200, body=b"own"
        )
        return dataclasses.replace(result, **changes)

    def test_late_result_of_another_request_is_dropped(self):
        """Guards against a result that is given to the next request (P7)."""
        other = self.make_result(request="old", body=b"other")
        response = self.call("/portal/x", results=(other, self.make_result()))
        self.assertEqual(b"own", response["body"])

    def test_outside_caller_reaches_no_internal_route(self):
        """Guards against internal routes that outside callers reach."""
        for path in ("/portal/internal/x", "/portal/a/../internal/x"):
            response = self.call(path)
            self.assertEqual("404 Not Found", response["status"])
            self.assertEqual(
                "not-run", response["headers"]["X-Apricotpost-Outcome"]
            )

    def test_answers_have_the_phrase_and_length_of_their_status(self):
        """Guards against responses that callers cannot parse."""
        empty = self.make_result(status=204, body=b"")
        response = self.call("/portal/x", results=(empty,))
        self.assertEqual("204 No Content", response["status"])
        self.assertNotIn("Content-Length", response["headers"])

    def test_dispatch_is_notified_when_the_caller_disconnects(self):
        """Guards against queued calls of a caller that has disconnected."""
        server_end, caller_end = socket.socketpair()
        self.addCleanup(server_end.close)
        caller_end.close()
        self.notice = None
        response = self.call(
            "/portal/x", results=(self.make_result(),), caller=server_end
        )
        self.assertIsInstance(self.notice, wire.CallerLeft)
        self.assertEqual("200 OK", response["status"])

    def test_draining_node_closes_connections(self):
        """Guards against connections kept open by a draining node (P11)."""
        self.ingress.draining = True
        response = self.call("/portal/x", results=(self.make_result(),))
        self.assertEqual("close", response["headers"]["Connection"])
