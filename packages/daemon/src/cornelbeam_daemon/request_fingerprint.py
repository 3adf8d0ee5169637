"""Fingerprints by which repetitions of a request are recognized."""

from cornelbeam_core.quarantine import fingerprint_request

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import RequestBody
from cornelbeam_daemon.http_message import HttpRequest


def compute_fingerprint(
    request: HttpRequest, body: RequestBody, body_limit_bytes: int
) -> bytes:
    """Return what is the same for all repetitions of a request.

    The fields of an attempt, its id and remaining time among them, are not,
    nor is the service on whose instance it arrives. The caller is known by its
    credentials, if it sends any. Of the body, the first ``body_limit_bytes``
    count, which must have been buffered: a longer one may not have arrived.
    """
    return fingerprint_request(
        (
            request.method,
            fields.find(request.headers, b'host') or b'',
            request.target,
            fields.find(request.headers, fields.AUTHORIZATION) or b'',
            body.kept_start(body_limit_bytes),
        )
    )
