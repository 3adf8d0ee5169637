"""Conversion between the types of core and the thrift messages."""

from cornelbeam_core.configuration import ConfigBatch, ConfigObject
from cornelbeam_core.directory import ViewAnswer
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.targets import USUAL_PERCENT, LoadReport, Target
from cornelbeam_wire.gen import messages


def load_to_wire(load: LoadReport) -> messages.LoadReport:
    """Convert a load report."""
    return messages.LoadReport(
        in_flight=load.in_flight,
        limit=load.limit,
        queue_length=load.queue_length,
        service_time_us=load.service_time_us,
        is_leaving=load.is_leaving,
        wait_ms=load.wait_ms or None,
        slowdown_percent=_unless_usual(load.slowdown_percent),
    )


def _unless_usual(percent: int) -> int | None:
    return None if percent == USUAL_PERCENT else percent


def load_from_wire(load: messages.LoadReport) -> LoadReport:
    """Convert a load report back."""
    return LoadReport(
        load.in_flight,
        load.limit,
        load.queue_length,
        load.service_time_us,
        load.is_leaving,
        load.wait_ms or 0,
        load.slowdown_percent or USUAL_PERCENT,
    )


def refusal_to_wire(
    error: CornelbeamError,
    load: LoadReport,
) -> messages.Refusal:
    """Convert an error that ends a call."""
    return messages.Refusal(
        code=error.code.value,
        run_state=int(error.run_state),
        retry_after_ms=error.retry_after_ms,
        step=error.step,
        peer=error.peer,
        load=load_to_wire(load),
        detail=error.detail,
    )


def refusal_from_wire(refusal: messages.Refusal) -> CornelbeamError:
    """Convert an error back; one that is not known reads as unknown run."""
    try:
        code = ErrorCode(refusal.code)
        run_state = RunState(refusal.run_state)
    except ValueError:
        code = ErrorCode.PROTOCOL_VIOLATION
        run_state = RunState.UNKNOWN
    return CornelbeamError(
        code,
        refusal.step,
        refusal.peer,
        refusal.detail,
        run_state=run_state,
        retry_after_ms=refusal.retry_after_ms,
    )


def member_to_wire(update: MemberUpdate) -> messages.MemberUpdate:
    """Convert a statement about a member."""
    target = update.target
    return messages.MemberUpdate(
        name=target.name,
        service_name=target.service,
        domain=target.domain,
        address=target.address,
        incarnation=target.incarnation,
        state=int(update.state),
        refutation=update.refutation,
        labels=dict(target.labels),
    )


def member_from_wire(update: messages.MemberUpdate) -> MemberUpdate:
    """Convert a statement back; ``ValueError`` for an unknown state."""
    return MemberUpdate(
        Target(
            update.name,
            update.service_name,
            update.domain,
            update.address,
            update.incarnation,
            update.labels,
        ),
        MemberState(update.state),
        update.refutation,
    )


def members_from_wire(
    updates: list[messages.MemberUpdate],
) -> list[MemberUpdate]:
    """Convert several statements back."""
    return [member_from_wire(update) for update in updates]


def batch_to_wire(batch: ConfigBatch) -> messages.ConfigPush:
    """Convert a batch of configuration objects."""
    return messages.ConfigPush(
        objects=[
            messages.ConfigObject(
                kind=held.kind,
                name=held.name,
                version=held.version,
                revision=held.revision,
                is_deleted=held.is_deleted,
                spec=held.spec,
            )
            for held in batch.objects
        ],
        since_revision=batch.since_revision,
        up_to_revision=batch.up_to_revision,
        has_more=batch.has_more,
    )


def batch_from_wire(push: messages.ConfigPush) -> ConfigBatch:
    """Convert a batch back."""
    return ConfigBatch(
        tuple(
            ConfigObject(
                held.kind,
                held.name,
                held.version,
                held.revision,
                held.is_deleted,
                held.spec,
            )
            for held in push.objects
        ),
        push.since_revision,
        push.up_to_revision,
        push.has_more,
    )


def view_to_wire(answer: ViewAnswer, revision: int) -> messages.ViewReply:
    """Convert the answer to a request for a view."""
    return messages.ViewReply(
        service_name=answer.service,
        is_unchanged=answer.is_unchanged,
        members=[member_to_wire(update) for update in answer.members],
        digest=answer.digest,
        revision=revision,
    )


def view_from_wire(reply: messages.ViewReply) -> ViewAnswer:
    """Convert the answer back."""
    return ViewAnswer(
        reply.service_name,
        reply.is_unchanged,
        reply.digest,
        tuple(members_from_wire(reply.members)),
    )
