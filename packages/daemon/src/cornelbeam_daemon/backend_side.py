"""Backend side: the only way to the backend server beside the daemon."""

import asyncio
from typing import Final, final

from cornelbeam_core.admission import (
    Admission,
    AdmissionLimit,
    AdmissionSettings,
    Outcome,
)
from cornelbeam_core.attempts import AttemptLedger, RecordResult
from cornelbeam_core.deadlines import check_deadline, remaining_ms
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.targets import LoadReport
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.backend_client import BackendAnswer, BackendClient
from cornelbeam_daemon.calls import Answer, Call
