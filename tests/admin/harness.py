"""Administration API with the platform stand-in, without a node."""

import contextlib
import dataclasses
import hashlib
import io
import json
import logging
import urllib.parse

from apricotpost import admin
from apricotpost import model
from apricotpost.node import stores
from apricotpost import settings
from standins import platform as stand_in

__all__ = ["Api", "TOKENS", "open_api"]

# Author, team and rights of each token.
TOKENS = {
    "t-portal": ("ilze", "portal-team", ("read", "change", "data-centres")),
    "t-second": ("juris", "portal-team", ("read", "change")),
    "t-cert": ("ana", "cert-team", ("read", "change")),
    "t-reader": ("eva", "portal-team", ("read",)),
    "t-blind": ("ivo", "portal-team", ("change",)),
}


@dataclasses.dataclass(kw_only=True)
class Api:
    """The application, the stand-in's state and the announced deltas."""

    app: object
    platform: stand_in.State
    view: model.View
    announced: list[model.Delta]

    def call(self, method, target, body=b"", *, token="t-portal", **headers):
        """Send a request; return the status and the decoded answer."""
        path, _, query = target.partition("?")
        data = body.encode() if isinstance(body, str) else body
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": urllib.parse.unquote(path),
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
        }
        if token:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {token}"
        for name, value in headers.items():
            environ["HTTP_" + name.upper()] = value
        statuses = []
        (answer,) = self.app(
            environ, lambda status, _: statuses.append(status)
        )
        return int(statuses[0].split()[0]), json.loads(answer)

    def items(self, pk):
        """Return the sort keys of a partition of the table."""
        return sorted(self.platform.tables.items["apricotpost"].get(pk, {}))


@contextlib.contextmanager
def open_api():
    """Serve the platform stand-in and make an application that uses it."""
    state = stand_in.State()
    logger = logging.getLogger("apricotpost.admin.app")
    logger.disabled = True
    with stand_in.serve(
        stand_in.make_app(state), host="127.0.0.1", port=0, threads=4
    ) as port:
        options = settings.parse(json.dumps(_make_settings(port)))
        api = Api(
            app=None,
            platform=state,
            view=model.View(snapshot=model.EMPTY_SNAPSHOT, ready=True),
            announced=[],
        )
        api.app = admin.make_app(
            admin.AdminState(
                options=options,
                open_store=lambda: stores.open_store(options.platform),
                read_view=lambda: api.view,
                read_current_instances=lambda: api.view,
                notify_committed=lambda delta, author: api.announced.append(
                    delta
                ),
                read_levels=lambda: {},
            )
        )
        yield api
    logger.disabled = False


def _make_settings(port):
    url = f"http://127.0.0.1:{port}"
    names = ("ingress", "local", "admin", "call", "control")
    return {
        "instance": "a1",
        "data_centre": "riga-1",
        "region": "lv-riga",
        "addresses": {name: "127.0.0.1:1" for name in names},
        "platform": {"table_url": url, "object_url": url},
        "tokens": [
            {
                "sha256": hashlib.sha256(token.encode()).hexdigest(),
                "author": author,
                "team": team,
                "rights": rights,
            }
            for token, (author, team, rights) in TOKENS.items()
        ],
    }
