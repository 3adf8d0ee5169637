"""Commands that write stored objects."""

from collections.abc import Iterable
from typing import Any, Final

from cornelbeam_operator.checks import (
    Inventory,
    find_new_contradictions,
    find_warnings,
    order_writes,
    read_inventory,
)
from cornelbeam_operator.context import Context
from cornelbeam_operator.differences import compare_specs, title_of
from cornelbeam_operator.exit_codes import ExitCode
from cornelbeam_operator.object_files import DesiredObject, read_objects
from cornelbeam_operator.planning import Change, read_changes
from cornelbeam_operator.writing import (
    EXIT_CODES,
    WriteOutcome,
    Writer,
    WriteReport,
)

_CHECKED_KINDS: Final = frozenset(('selector', 'labels', 'service'))


async def change_objects(
    context: Context,
    desired: Iterable[DesiredObject],
    *,
    is_dry_run: bool,
) -> ExitCode:
    """Check objects and write them one by one.

    Nothing is written unless all checks pass. The first failed write ends the
    command; the remaining ones are reported as not tried.
    """
    changes = await read_changes(context.store, desired)
    needed = [change for change in changes if change.is_needed]
    reports = [
        WriteReport(change, WriteOutcome.UNCHANGED, current=change.base)
        for change in changes
        if not change.is_needed
    ]
    stale = [
        WriteReport(change, WriteOutcome.CONFLICT, current=change.base)
        for change in needed
        if change.is_stale
    ]
    if stale:
        return _report(context, [*reports, *stale])
    inventory = await _read_inventory_for(context, needed)
    if not _passes_checks(context, inventory, needed):
        return ExitCode.INVALID
    ordered, transient = order_writes(inventory, needed)
    for contradiction in transient:
        context.output.warn(f'until all objects are written: {contradiction}')
    if is_dry_run:
        planned = [
            WriteReport(change, WriteOutcome.PLANNED, current=change.base)
            for change in ordered
        ]
        return _report(context, [*reports, *planned])
    written = await _write_all(context, ordered)
    exit_code = _report(context, [*reports, *written])
    return await _check_concurrent_writes(context, ordered, exit_code)


async def apply_file(
    context: Context,
    *,
    file: str,
    is_dry_run: bool,
) -> ExitCode:
    """Check and write the objects of a file."""
    return await change_objects(
        context,
        read_objects(file),
        is_dry_run=is_dry_run,
    )


async def delete_object(
    context: Context,
    *,
    desired: DesiredObject,
    is_dry_run: bool,
) -> ExitCode:
    """Delete an object; report ``NOT_FOUND`` if it does not exist."""
    stored = await context.store.get(desired.kind, desired.name)
    if stored is None:
        context.output.fail(f'{desired.reference} does not exist')
        return ExitCode.NOT_FOUND
    return await change_objects(context, [desired], is_dry_run=is_dry_run)


async def diff_file(context: Context, *, file: str) -> ExitCode:
    """Show what ``apply`` would change, without running its checks."""
    changes = await read_changes(context.store, read_objects(file))
    needed = [change for change in changes if change.is_needed]
    for change in needed:
        context.output.show_difference(change.difference())
    context.output.record(
        'differences',
        [_encode_difference(each) for each in needed],
    )
    return ExitCode.DIFFERENT if needed else ExitCode.DONE


async def _read_inventory_for(
    context: Context,
    changes: list[Change],
) -> Inventory:
    if any(change.desired.kind in _CHECKED_KINDS for change in changes):
        return await read_inventory(context.store)
    return Inventory({}, {}, frozenset())


def _passes_checks(
    context: Context,
    inventory: Inventory,
    changes: list[Change],
) -> bool:
    """Report contradictions and warnings; only the former are errors."""
    sources = {
        change.desired.name: change.desired.source
        for change in changes
        if change.desired.kind == 'selector'
    }
    contradictions = find_new_contradictions(inventory, changes)
    for found in contradictions:
        source = next(
            sources[name] for name in found.selector_names if name in sources
        )
        context.output.fail(f'{source}: spec.target_labels: {found}')
    for warning in find_warnings(inventory, changes):
        context.output.warn(warning)
    return not contradictions


async def _write_all(
    context: Context,
    changes: list[Change],
) -> list[WriteReport]:
    writer = Writer(context.store, context.make_write_id, context.sleep)
    reports: list[WriteReport] = []
    for change in changes:
        reports.append(await writer.write(change))
        if reports[-1].outcome is not WriteOutcome.WRITTEN:
            break
    reports.extend(
        WriteReport(skipped, WriteOutcome.NOT_TRIED)
        for skipped in changes[len(reports) :]
    )
    return reports


async def _check_concurrent_writes(
    context: Context,
    changes: list[Change],
    exit_code: ExitCode,
) -> ExitCode:
    """Report contradictions with selectors that were written concurrently."""
    if exit_code is not ExitCode.DONE:
        return exit_code
    if not any(change.desired.kind == 'selector' for change in changes):
        return exit_code
    inventory = await read_inventory(context.store)
    contradictions = find_new_contradictions(inventory, changes)
    for found in contradictions:
        context.output.fail(
            f'written, but contradicts a concurrent write: {found}'
        )
    return ExitCode.INVALID if contradictions else exit_code


def _report(context: Context, reports: list[WriteReport]) -> ExitCode:
    for report in reports:
        _show(context, report)
    context.output.record('objects', [_encode(each) for each in reports])
    codes = (EXIT_CODES[each.outcome] for each in reports)
    return next((code for code in codes if code), ExitCode.DONE)


def _show(context: Context, report: WriteReport) -> None:
    change, output = report.change, context.output
    reference = change.desired.reference
    detail = f' ({report.detail})' if report.detail else ''
    version = 0 if report.current is None else report.current.version
    match report.outcome:
        case WriteOutcome.UNCHANGED:
            output.show(f'{reference} unchanged (version {version})')
        case WriteOutcome.PLANNED:
            output.show(f'{reference} would be {change.verb}')
            output.show_difference(change.difference())
        case WriteOutcome.WRITTEN:
            position = _describe_position(report)
            output.show(f'{reference} {change.verb}{position}{detail}')
        case WriteOutcome.CONFLICT:
            output.fail(_describe_conflict(report) + detail)
            output.show_difference(_what_changed(report))
        case WriteOutcome.NOT_TRIED:
            output.fail(f'{reference}: not tried')
        case WriteOutcome.NOT_WRITTEN:
            output.fail(f'{reference}: not written{detail}')
        case WriteOutcome.UNKNOWN:
            output.fail(
                f'{reference}: it is unknown whether write'
                f' {report.write_id} took effect{detail}',
            )
            output.show_difference(_what_changed(report))


def _describe_position(report: WriteReport) -> str:
    if report.current is None:
        return ''
    current = report.current
    return (
        f' (version {current.version}, revision {current.revision},'
        f' write {report.write_id})'
    )


def _describe_conflict(report: WriteReport) -> str:
    change = report.change
    return '{0}: {1}: expected version {2}, but the store has {3}'.format(
        change.desired.source,
        change.desired.reference,
        change.expected_version,
        title_of(change.desired.reference, report.current),
    )


def _what_changed(report: WriteReport) -> list[str]:
    """Return the diff from the spec that the operator saw to the stored one.

    If the file is based on an older version, that version is no longer stored.
    The diff then starts from the spec in the file.
    """
    change, current = report.change, report.current
    reference = change.desired.reference
    if change.is_stale:
        before = change.desired.spec
        title = f'{reference} ({change.desired.source})'
    else:
        before = None if change.base is None else change.base.spec
        title = title_of(reference, change.base)
    return list(
        compare_specs(
            before,
            None if current is None or current.is_deleted else current.spec,
            title,
            title_of(reference, current),
        ),
    )


def _encode_difference(change: Change) -> dict[str, Any]:
    return {
        'kind': change.desired.kind,
        'name': change.desired.name,
        'version': change.base_version,
        'difference': list(change.difference()),
    }


def _encode(report: WriteReport) -> dict[str, Any]:
    change, current = report.change, report.current
    encoded: dict[str, Any] = {
        'kind': change.desired.kind,
        'name': change.desired.name,
        'outcome': report.outcome.value,
        'action': change.verb if change.is_needed else '',
        'expected_version': change.expected_version,
        'write_id': report.write_id,
        'detail': report.detail,
        'current': None,
    }
    if current is not None:
        encoded['current'] = {
            'version': current.version,
            'revision': current.revision,
            'write_id': current.write_id,
            'is_deleted': current.is_deleted,
            'spec': current.spec,
        }
    if report.outcome in {WriteOutcome.CONFLICT, WriteOutcome.UNKNOWN}:
        encoded['difference'] = _what_changed(report)
    elif report.outcome is WriteOutcome.PLANNED:
        encoded['difference'] = list(change.difference())
    return encoded
