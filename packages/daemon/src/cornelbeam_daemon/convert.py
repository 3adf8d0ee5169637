"""Conversion between core types and thrift messages."""

from cornelbeam_core.configuration import ConfigBatch, ConfigObject
from cornelbeam_core.directory import ViewAnswer
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.targets import USUAL_PERCENT, LoadReport, Target
from cornelbeam_wire.gen import messages


def load_to_wire(load: LoadReport) -> messages.LoadReport:
    """Convert a load report to its message."""
    return messages.LoadReport(
        in_flight=load.in_flight,
        limit=load.limit,
        queue_length=load.queue_length,
        service_time_us=load.service_time_us,
        is_leaving=load.is_leaving,
        wait_ms=load.wait_ms or None,
        slowdown_percent=_omit_usual(load.slowdown_percent),
        paced_wait_ms=load.paced_wait_ms or None,
    )


def _omit_usual(percent: int) -> int | None:
    return None if percent == USUAL_PERCENT else percent


def load_from_wire(load: messages.LoadReport) -> LoadReport:
    """Convert a message to a load report."""
    return LoadReport(
        load.in_flight,
        load.limit,
        load.queue_length,
        load.service_time_us,
        load.is_leaving,
        load.wait_ms or 0,
        load.slowdown_percent or USUAL_PERCENT,
        load.paced_wait_ms or 0,
    )


def refusal_to_wire(
    error: CornelbeamError,
    load: LoadReport,
) -> messages.Refusal:
    """Convert the error that ended a call to a refusal."""
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
    """Convert a refusal to an error.

    An unknown code or run state becomes a protocol violation whose run state
    is ``UNKNOWN``.
    """
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
    """Convert a member update to its message."""
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
    """Convert a message to a member update.

    Raise ``ValueError`` for an unknown state.
    """
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
    """Convert messages to member updates.

    Raise ``ValueError`` for an unknown state.
    """
    return [member_from_wire(update) for update in updates]


def batch_to_wire(batch: ConfigBatch) -> messages.ConfigPush:
    """Convert a batch of configuration objects to a push."""
    return messages.ConfigPush(
        objects=[
            messages.ConfigObject(
                kind=config_object.kind,
                name=config_object.name,
                version=config_object.version,
                revision=config_object.revision,
                is_deleted=config_object.is_deleted,
                spec=config_object.spec,
            )
            for config_object in batch.objects
        ],
        since_revision=batch.since_revision,
        up_to_revision=batch.up_to_revision,
        has_more=batch.has_more,
    )


def batch_from_wire(push: messages.ConfigPush) -> ConfigBatch:
    """Convert a push to a batch of configuration objects."""
    return ConfigBatch(
        tuple(
            ConfigObject(
                config_object.kind,
                config_object.name,
                config_object.version,
                config_object.revision,
                config_object.is_deleted,
                config_object.spec,
            )
            for config_object in push.objects
        ),
        push.since_revision,
        push.up_to_revision,
        push.has_more,
    )


def view_to_wire(answer: ViewAnswer, revision: int) -> messages.ViewReply:
    """Convert the answer to a view request to its message."""
    return messages.ViewReply(
        service_name=answer.service,
        is_unchanged=answer.is_unchanged,
        members=[member_to_wire(update) for update in answer.members],
        digest=answer.digest,
        revision=revision,
    )


def view_from_wire(reply: messages.ViewReply) -> ViewAnswer:
    """Convert a message to the answer to a view request."""
    return ViewAnswer(
        reply.service_name,
        reply.is_unchanged,
        reply.digest,
        tuple(members_from_wire(reply.members)),
    )
