"""Commands that change one labels or failure-domain object."""

import difflib
from collections.abc import Iterable
from typing import Final

from cornelbeam_object_api.kinds import find_name_problem, parse_spec

from cornelbeam_operator.changing import change_objects
from cornelbeam_operator.context import Context
from cornelbeam_operator.exit_codes import ExitCode
from cornelbeam_operator.object_files import DesiredObject
from cornelbeam_operator.store import list_existing

_DOMAIN_KIND: Final = 'failure-domain'


async def change_labels(
    context: Context,
    target: str,
    changes: Iterable[str],
    *,
    is_dry_run: bool,
) -> ExitCode:
    """Set (``key=value``) or remove (``key-``) labels of a target."""
    stored = await context.store.get('labels', target)
    labels = {} if stored is None else dict(stored.spec.get('labels', {}))
    for change in changes:
        label, equals, text = change.partition('=')
        if equals:
            labels[label] = text
        elif label.endswith('-'):
            labels.pop(label[:-1], None)
        else:
            context.output.fail(f'"{change}" is neither key=value nor key-')
            return ExitCode.USAGE
    fault = find_name_problem('labels', target)
    if fault:
        context.output.fail(fault)
        return ExitCode.INVALID
    parse_spec('labels', {'labels': labels})
    # change_objects reads the object again. Stating the version read here turns
    # a write between the two reads into a conflict instead of overwriting it.
    desired = DesiredObject(
        'labels',
        target,
        {'labels': labels},
        0 if stored is None else stored.version,
    )
    return await change_objects(context, [desired], is_dry_run=is_dry_run)


async def switch_domain(
    context: Context,
    domain: str,
    *,
    is_in_service: bool,
    is_last_allowed: bool,
    is_dry_run: bool,
) -> ExitCode:
    """Take a failure domain out of service or bring it back.

    The failure domain must be stored already, so that a misspelled name does
    not create one. Taking out the last one in service requires
    ``is_last_allowed``.
    """
    stored = await list_existing(context.store, _DOMAIN_KIND)
    versions = {each.name: each.version for each in stored}
    if domain not in versions:
        context.output.fail(_describe_missing(domain, versions))
        return ExitCode.NOT_FOUND
    others = [
        each.name
        for each in stored
        if each.name != domain and each.spec.get('is_in_service')
    ]
    if not is_in_service and not others and not is_last_allowed:
        context.output.fail(
            f'{domain} is the last failure domain in service; taking it out'
            ' stops all services. Use --allow-last to do so',
        )
        return ExitCode.INVALID
    desired = DesiredObject(
        _DOMAIN_KIND,
        domain,
        {'is_in_service': is_in_service},
        versions[domain],
    )
    exit_code = await change_objects(
        context,
        [desired],
        is_dry_run=is_dry_run,
    )
    if exit_code is ExitCode.DONE and not is_in_service:
        await _warn_if_none_in_service(context)
    return exit_code


async def _warn_if_none_in_service(context: Context) -> None:
    """Warn if concurrent commands took out all failure domains."""
    stored = await list_existing(context.store, _DOMAIN_KIND)
    if not any(each.spec.get('is_in_service') for each in stored):
        context.output.warn('no failure domain is in service any more')


def _describe_missing(domain: str, known: Iterable[str]) -> str:
    names = sorted(known)
    nearest = difflib.get_close_matches(domain, names, n=1)
    hint = 'known are: {0}'.format(', '.join(names) or 'none')
    if nearest:
        hint = f'did you mean "{nearest[0]}"?'
    return f'{_DOMAIN_KIND}/{domain} does not exist, {hint}'
