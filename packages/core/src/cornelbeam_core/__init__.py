"""Decision logic without I/O: routing, limits, retries, state, recovery."""

from cornelbeam_core.admission import (
    Admission,
    AdmissionLimit,
    AdmissionSettings,
)
from cornelbeam_core.attempts import (
    AttemptLedger,
    RecordResult,
    interpret_outcome,
)
from cornelbeam_core.budget import RetryBudget, TokenBucket
from cornelbeam_core.configuration import (
    ConfigBatch,
    ConfigObject,
    ConfigurationGossip,
    ConfigurationState,
)
from cornelbeam_core.contradictions import Contradiction, find_contradictions
from cornelbeam_core.deadlines import (
    MAX_HOP_COUNT,
    check_deadline,
    check_hop_count,
    remaining_ms,
)
from cornelbeam_core.directory import ContactTable, ServiceDirectory
from cornelbeam_core.ejection import OutlierEjector
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.introducers import IntroducerMonitor
from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.membership import Membership
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.relays import choose_relays
from cornelbeam_core.requests import (
    RepeatRule,
    RequestFacts,
    is_idempotent_method,
)
from cornelbeam_core.retry import RetryDecision, decide_retry
from cornelbeam_core.selection import POLICIES, TargetState, choose_target
from cornelbeam_core.selectors import Route, SelectorIndex, SelectorSpec
from cornelbeam_core.targets import LoadReport, Target

__all__ = (
    'MAX_HOP_COUNT',
    'POLICIES',
    'Admission',
    'AdmissionLimit',
    'AdmissionSettings',
    'AttemptLedger',
    'CallOutcome',
    'ConfigBatch',
    'ConfigObject',
    'ConfigurationGossip',
    'ConfigurationState',
    'ContactTable',
    'Contradiction',
    'CornelbeamError',
    'ErrorCode',
    'IntroducerMonitor',
    'LoadReport',
    'MemberState',
    'MemberUpdate',
    'Membership',
    'OutlierEjector',
    'RecordResult',
    'RepeatRule',
    'RequestFacts',
    'RetryBudget',
    'RetryDecision',
    'Route',
    'RunState',
    'SelectorIndex',
    'SelectorSpec',
    'ServiceDirectory',
    'Target',
    'TargetState',
    'TokenBucket',
    'check_deadline',
    'check_hop_count',
    'choose_relays',
    'choose_target',
    'decide_retry',
    'find_contradictions',
    'is_idempotent_method',
    'interpret_outcome',
    'remaining_ms',
)
