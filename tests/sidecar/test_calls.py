"""Tests of requests through event-loop nodes that run as processes."""

import asyncio

from apricotpost import http
from tests.sidecar import cases

__all__ = ["CallTest"]

# The end of a response that is otherwise accepted.
SIGNED_BODY = (
    b"X-Response-Seal: s\r\nX-Request-Id: %b\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
INVALID_HEADS = (
    b"HTTP/1.1 000 Zero\r\n",
    b"HTTP/1.1 600 Unknown\r\n",
    b"HTTP/2.0 200 OK\r\n",
    b"HTTP/1.1 200 O\x00K\r\n",
    b"HTTP/1.1 200 OK\r\nX Y: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n",
)


class CallTest(cases.MeshCase):
    """Requests to healthy and to faulty backend servers."""

    async def test_request_crosses_nodes_unchanged(self):
        """Guards against requests or responses that nodes alter."""
        routes = [{"prefix": "/reports/", "service": "fieldbook"}]
        await self.start(
            "dc-a", "dc-b", services=("portal", "fieldbook"), routes=routes
        )
        body = bytes(range(256)) * 1000
        result = await self.call(
            self.nodes[0].ports.callers,
            "/reports/7?x=1",
            method=b"POST",
            body=body,
            headers=((b"X-Caller-Service", b"forged"), (b"X-Own", b"kept")),
        )
        response = result.response
        self.assertEqual(200, response.status)
        self.assertEqual(b"body of /reports/7?x=1", response.body)
        seal = http.find_header(response.headers, b"x-response-seal")
        self.assertEqual(b"seal-q1", seal)
        executed = self.backends[1].executed_requests[0]
        self.assertEqual(body, executed.body)
        self.assertEqual(b"/reports/7?x=1", executed.target)
        headers = dict((k.lower(), v) for k, v in executed.headers)
        self.assertEqual(b"portal", headers[b"x-caller-service"])
        self.assertEqual(b"kept", headers[b"x-own"])
        self.assertLessEqual(int(headers[b"x-deadline-ms"]), 2000)

    async def test_call_reaches_a_server_behind_the_relays(self):
        """Guards against servers that only the relays can reach.

        The third nodes of both data centres are not relays. A node that starts
        first acts as a relay until it has the others' states, and may have
        connected to nodes of the other data centre.
        """
        routes = [{"prefix": "/reports/", "service": "fieldbook"}]
        services = ("portal",) * 5 + ("fieldbook",)
        data_centres = ("dc-a",) * 3 + ("dc-b",) * 3
        await self.start(*data_centres, services=services, routes=routes)
        caller = self.nodes[2]
        peers = await self.mesh.read_metric(
            caller, "apricotpost_peers_connected"
        )
        self.assertLess(peers, len(self.nodes) - 1)
        statuses = []
        for _ in range(20):
            result = await self.call(caller.ports.callers, "/reports/1")
            statuses.append(result.response.status)
            await asyncio.sleep(0.02)
        self.assertIn(200, statuses)
        self.assertEqual({200}, set(statuses[10:]))
        self.backends[5].state = "draining"
        await self.mesh.send_heartbeat(self.nodes[5])
        await asyncio.sleep(0.5)
        runs_before = len(self.backends[5].executed_ids)
        result = await self.call(caller.ports.callers, "/reports/1")
        self.assertEqual(503, result.response.status)
        self.assertEqual(runs_before, len(self.backends[5].executed_ids))

    async def test_lost_answer_of_unsafe_request_is_not_retried(self):
        """Guards against a second run of a non-idempotent request."""
        await self.start("dc-a", "dc-a")
        for backend in self.backends:
            backend.fault_mode = "reset"
        statuses = await self.call_all(6, "/reports/1", method=b"POST")
        self.assertEqual([502] * 6, statuses)
        self.assertEqual(6, self.count_runs())

    async def test_lost_answer_of_safe_request_is_retried(self):
        """Guards against failures that a retry would have avoided."""
        await self.start("dc-a", "dc-a")
        self.backends[0].fault_mode = "reset"
        self.assertEqual([200, 200], await self.call_all(2))

    async def test_slow_server_is_hedged(self):
        """Guards against an idempotent request that waits for a hung server.

        One of two servers takes 3 s instead of 20 ms.
        """
        await self.start("dc-a", "dc-a")
        for backend in self.backends:
            backend.service_seconds = 0.02
        for _ in range(20):
            await self.call_all(2)
        slow = self.backends[0]
        slow.service_seconds = 3.0
        runs_before = len(slow.executed_ids)
        loop = asyncio.get_running_loop()
        # On a busy machine the load balancer may avoid this server already;
        # more concurrent calls reach it in any case.
        for count in range(2, 12):
            started_at = loop.time()
            statuses = await self.call_all(count)
            self.assertEqual([200] * count, statuses)
            self.assertLess(loop.time() - started_at, 1.0)
            if len(slow.executed_ids) > runs_before:
                break
        self.assertGreater(len(slow.executed_ids), runs_before)
        await self.wait_until(lambda: slow.cancelled, seconds=0.5)

    async def test_server_with_cancelled_requests_counts_as_slow(self):
        """Guards against a slow server measured by its fast responses only.

        Its slow requests are hedged and cancelled, so none of them completes.
        """
        await self.start("dc-a", "dc-a")
        for backend in self.backends:
            backend.service_seconds = 0.02
        for _ in range(20):
            await self.call_all(2)
        slow, healthy = self.backends
        slow.service_seconds = 3.0
        for _ in range(10):
            await self.call_all(2)
        runs_before = len(slow.executed_ids)
        for _ in range(10):
            await self.call_all(2)
        self.assertLess(len(slow.executed_ids) - runs_before, 5)

    async def test_unsafe_request_is_not_hedged(self):
        """Guards against a hedge that runs a non-idempotent request twice."""
        await self.start("dc-a", "dc-a")
        for _ in range(20):
            await self.call_all(2, "/reports/1", method=b"POST")
        runs_before = self.count_runs()
        for backend in self.backends:
            backend.service_seconds = 0.8
        statuses = await self.call_all(4, "/reports/1", method=b"POST")
        self.assertEqual([200] * 4, statuses)
        self.assertEqual(runs_before + 4, self.count_runs())

    async def test_wrong_and_truncated_responses_are_not_delivered(self):
        """Guards against truncated responses and those of other requests."""
        await self.start("dc-a")
        for mode in ("wrong", "cut", "cut-head"):
            self.backends[0].fault_mode = mode
            statuses = await self.call_all(1, "/reports/1", method=b"POST")
            self.assertEqual([502], statuses)

    async def test_response_with_invalid_head_is_not_delivered(self):
        """Guards against an answer that is none, passed on to a client.

        The status 000 of a server in trouble reached clients. A request that
        may be repeated is sent to another server.
        """
        await self.start("dc-a", "dc-a")
        for head in INVALID_HEADS:
            self.backends[0].fault_mode = "raw"
            self.backends[0].raw_response = head + SIGNED_BODY
            self.backends[1].fault_mode = "answer"
            with self.subTest(head=head, repeated=True):
                self.assertEqual([200] * 4, await self.call_all(4))
            self.backends[1].fault_mode = "raw"
            self.backends[1].raw_response = head + SIGNED_BODY
            with self.subTest(head=head, repeated=False):
                statuses = await self.call_all(2, "/reports/1", method=b"POST")
                self.assertEqual([502] * 2, statuses)

    async def test_rejected_request_goes_to_another_server(self):
        """Guards against a failed request that could still run elsewhere."""
        await self.start("dc-a", "dc-a")
        self.backends[0].fault_mode = "shed"
        statuses = await self.call_all(4, "/reports/1", method=b"POST")
        self.assertEqual([200] * 4, statuses)
        self.assertEqual(4, self.count_runs())

    async def test_refused_request_has_not_run_and_gets_retry_after(self):
        """Guards against a run of a request that was answered as not run."""
        await self.start("dc-a")
        self.backends[0].state = "draining"
        await self.mesh.send_heartbeat(self.nodes[0])
        result = await self.call(
            self.nodes[0].ports.callers, "/reports/1", method=b"POST"
        )
        self.assertEqual(503, result.response.status)
        retry = http.find_header(result.response.headers, b"retry-after")
        self.assertGreater(float(retry), 0.0)
        self.assertEqual(0, self.count_runs())

    async def test_server_never_gets_more_than_its_slots(self):
        """Guards against more requests than slots, at which a server hangs."""
        await self.start("dc-a", "dc-a")
        for backend in self.backends:
            backend.service_seconds = 0.05
        statuses = await self.call_all(60)
        self.assertIn(200, statuses)
        for backend in self.backends:
            self.assertLessEqual(backend.max_active_requests, backend.slots)

    async def test_overload_is_refused_at_once(self):
        """Guards against requests that are queued and refused later.

        200 requests arrive at once at a server with 8 slots that has taken
        100 ms per request (objective 500 ms) and now takes 5 s. The refusals
        have to come before any other response.
        """
        routes = [{**cases.SAFE, "timeout_ms": 9000}]
        await self.start("dc-a", routes=routes)
        backend = self.backends[0]
        backend.service_seconds = 0.1
        await self.call_all(40, deadline_ms=9000)
        backend.service_seconds = 5.0
        address = self.nodes[0].ports.callers
        calls = [
            asyncio.create_task(self.call(address, deadline_ms=9000))
            for _ in range(200)
        ]
        self.addCleanup(lambda: [call.cancel() for call in calls])
        refused = 0
        runs = 0
        for ended in asyncio.as_completed(calls):
            result = await ended
            if result.response.status != 503:
                break
            refused += 1
            # Queued requests start when the first 8 have ended.
            runs = len(backend.executed_ids)
        # 8 run, and about 40 more fit into a queue of 450 ms.
        self.assertGreater(refused, 140)
        self.assertLessEqual(runs, 40 + 8)

    async def test_disconnect_of_the_caller_cancels_a_safe_request(self):
        """Guards against work for callers that have disconnected."""
        await self.start("dc-a")
        backend = self.backends[0]
        backend.service_seconds = 1.5
        task = asyncio.create_task(self.call(self.nodes[0].ports.callers))
        await self.wait_until(lambda: backend.executed_ids)
        task.cancel()
        await self.wait_until(lambda: backend.cancelled, seconds=0.5)

    async def test_answer_comes_at_the_timeout_of_the_route(self):
        """Guards against callers that wait beyond the timeout."""
        routes = [{**cases.SAFE, "timeout_ms": 300}]
        await self.start("dc-a", routes=routes)
        self.backends[0].service_seconds = 2.0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.assertEqual([504], await self.call_all(1))
        self.assertLess(loop.time() - started_at, 0.8)

    async def test_cold_server_gets_only_its_rate(self):
        """Guards against the overload of a server that has just started."""
        await self.start("dc-a")
        backend = self.backends[0]
        backend.cold_ms = 5000
        await self.mesh.send_heartbeat(self.nodes[0])
        await self.call_all(100)
        # The rate is 20 a second; half as many more and 5 are allowed in each
        # second. On a busy machine the calls take longer than one.
        started_at = backend.run_started_at
        for first in started_at:
            count = sum(first <= at < first + 1.0 for at in started_at)
            self.assertLessEqual(count, 35)
