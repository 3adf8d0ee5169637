"""Commands that read stored objects or query daemons."""

import json
from collections.abc import Mapping
from typing import Any

from cornelbeam_core.errors import CornelbeamError, RunState
from cornelbeam_core.requests import RequestFacts
from cornelbeam_object_api.kinds import KINDS
from cornelbeam_settings import unknown_key_message

from cornelbeam_operator.checks import read_inventory
from cornelbeam_operator.context import Context
from cornelbeam_operator.exit_codes import ExitCode
from cornelbeam_operator.explaining import Explanation, explain
from cornelbeam_operator.fleet import wait_for_revision
from cornelbeam_operator.store import (
    StoredView,
    list_existing,
)


async def get_objects(context: Context, kind: str, name: str) -> ExitCode:
    """Show one object, or all objects of a kind if the name is empty."""
    if kind not in KINDS:
        message = unknown_key_message(kind, KINDS).replace('key', 'kind', 1)
        context.output.fail(f'{kind}: {message}')
        return ExitCode.INVALID
    found = await context.store.get(kind, name) if name else None
    if name and found is None:
        context.output.fail(f'{kind}/{name} does not exist')
        return ExitCode.NOT_FOUND
    stored = [found] if found else await list_existing(context.store, kind)
    encoded = [_encode(each) for each in stored]
    context.output.show(
        json.dumps(encoded[0] if name else encoded, indent=2),
    )
    context.output.record('objects', encoded)
    return ExitCode.DONE


async def show_status(
    context: Context,
    addresses: tuple[str, ...],
) -> ExitCode:
    """Show the status of daemons; without addresses, of stored objects."""
    if not addresses:
        return await _show_stored(context)
    answers: dict[str, Any] = {}
    exit_code = ExitCode.DONE
    for address in addresses:
        try:
            answers[address] = await context.admin.get(address, '/status')
        except CornelbeamError as error:
            context.output.fail(str(error))
            exit_code = ExitCode.UNAVAILABLE
            continue
        context.output.show(f'{address}:')
        _show_tree(context, answers[address], '  ')
    context.output.record('daemons', answers)
    return exit_code


async def wait_until_in_force(
    context: Context,
    addresses: tuple[str, ...],
    revision: int | None,
    timeout_s: float,
) -> ExitCode:
    """Wait until a revision is in force everywhere; show lagging members."""
    if not addresses:
        context.output.fail('at least one admin address is required')
        return ExitCode.USAGE
    wanted = revision
    if wanted is None:
        wanted = await read_revision(context)
    view = await wait_for_revision(
        context.admin,
        addresses,
        wanted,
        timeout_s,
        context.now,
        context.sleep,
    )
    lagging = list(view.lagging(wanted))
    context.output.record('revision', wanted)
    context.output.record('members', dict(view.revisions))
    context.output.record('lagging', lagging)
    if not lagging:
        count = len(view.revisions)
        context.output.show(f'revision {wanted} is in force at {count} members')
        return ExitCode.DONE
    context.output.fail(
        f'revision {wanted} is not in force everywhere after {timeout_s:g} s',
    )
    for line in lagging:
        context.output.show(line)
    return ExitCode.LAGGING


async def read_revision(context: Context) -> int:
    """Return the latest revision of the store, including deletions."""
    # Each list states the revision of the whole store, so any kind will do.
    listed = await context.store.list_kind('failure-domain')
    return listed.revision


async def drain(
    context: Context,
    address: str,
    *,
    is_dry_run: bool,
) -> ExitCode:
    """Ask a daemon to refuse new work and to stop once it is idle."""
    if is_dry_run:
        status = await context.admin.get(address, '/status')
        context.output.record('status', status)
        context.output.show(f'{address} would be drained, its status is:')
        _show_tree(context, status, '  ')
        return ExitCode.DONE
    try:
        answer = await context.admin.post(address, '/drain')
    except CornelbeamError as error:
        if error.run_state is RunState.NOT_RUN:
            raise
        return await _resolve_drain(context, address, error)
    context.output.record('drain', answer)
    context.output.show(f'{address} is draining')
    return ExitCode.DONE


async def explain_request(
    context: Context,
    facts: RequestFacts,
    address: str,
) -> ExitCode:
    """Explain a route from the stored objects or by asking a daemon."""
    if address and facts.headers:
        context.output.fail('headers cannot be combined with --admin')
        return ExitCode.USAGE
    if address:
        query = {
            'service': facts.service,
            'method': facts.method,
            'path': facts.path,
        }
        answer = await context.admin.get(address, '/explain', query)
        context.output.record('explanation', answer)
        _show_tree(context, answer, '')
        return ExitCode.DONE
    inventory = await read_inventory(context.store)
    if facts.service not in inventory.services:
        context.output.warn(f'there is no object for service {facts.service}')
    explanation = explain(inventory, facts)
    if explanation.excluded:
        context.output.warn(
            'labels objects do not include the service and failure domain of a'
            ' target; use --admin to take them into account',
        )
    domains = await list_existing(context.store, 'failure-domain')
    content = _encode_explanation(explanation)
    content['domains_out_of_service'] = [
        each.name for each in domains if not each.spec.get('is_in_service')
    ]
    context.output.record('explanation', content)
    _show_tree(context, content, '')
    return ExitCode.DONE


async def _resolve_drain(
    context: Context,
    address: str,
    error: CornelbeamError,
) -> ExitCode:
    """Query whether a daemon is draining after its answer was lost."""
    try:
        status = await context.admin.get(address, '/status')
    except CornelbeamError:
        context.output.fail(f'{error}; it is unknown whether it is draining')
        return ExitCode.UNKNOWN
    context.output.record('status', status)
    if status.get('is_leaving'):
        context.output.show(f'{address} is draining (the answer was lost)')
        return ExitCode.DONE
    context.output.fail(f'{error}; the daemon is not draining, try again')
    return ExitCode.UNAVAILABLE


async def _show_stored(context: Context) -> ExitCode:
    content: dict[str, Any] = {'revision': await read_revision(context)}
    for kind in KINDS:
        stored = await list_existing(context.store, kind)
        content[kind] = len(stored)
        if kind == 'failure-domain':
            content[kind] = {
                each.name: _describe_domain(each) for each in stored
            }
    context.output.record('stored', content)
    _show_tree(context, content, '')
    return ExitCode.DONE


def _describe_domain(stored: StoredView) -> str:
    if stored.spec.get('is_in_service'):
        return 'in service'
    return f'out of service (version {stored.version}, {stored.write_id})'


def _encode(stored: StoredView) -> dict[str, Any]:
    return {
        'kind': stored.kind,
        'name': stored.name,
        'version': stored.version,
        'revision': stored.revision,
        'write_id': stored.write_id,
        'spec': stored.spec,
    }


def _encode_explanation(explanation: Explanation) -> dict[str, Any]:
    route = explanation.route
    return {
        'selectors_that_apply': list(route.selector_names),
        'selectors_overridden': dict(explanation.overridden),
        'selectors_not_matching': dict(explanation.skipped),
        'is_repeatable': route.is_repeatable,
        'timeout_ms': route.timeout_ms,
        'target_labels': {
            label: sorted(allowed)
            for label, allowed in route.target_labels.items()
        },
        'targets_eligible_by_labels': list(explanation.eligible),
        'targets_excluded_by_labels': dict(explanation.excluded),
    }


def _show_tree(
    context: Context,
    content: Mapping[str, Any],
    indent: str,
) -> None:
    for key, element in content.items():
        if isinstance(element, Mapping) and element:
            context.output.show(f'{indent}{key}:')
            _show_tree(context, element, f'{indent}  ')
        else:
            text = json.dumps(element, ensure_ascii=False)
            context.output.show(f'{indent}{key}: {text}')
