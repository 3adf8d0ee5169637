"""Command line of the stand-ins; one binary starts any of them."""

from functools import partial

import anyio
import defopt  # type: ignore[import-untyped]

from cornelbeam_standins.asgi import serve_application
from cornelbeam_standins.object_api import ObjectApi


def object_api(*, port: int) -> None:
    """Serve a stand-in Object API on loopback.

    :param port: Port to listen on; 0 takes any free one.
    """
    anyio.run(partial(serve_application, ObjectApi(), port))


def main() -> None:
    """Run the command named by the arguments."""
    defopt.run({'object-api': object_api})
