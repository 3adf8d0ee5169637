"""Subcommands of ``cornelbeamctl`` with their command line parameters."""

from functools import partial
from typing import final

from cornelbeam_core.requests import RequestFacts

from cornelbeam_operator import changing, reading, targets
from cornelbeam_operator.exit_codes import ExitCode
from cornelbeam_operator.object_files import DesiredObject
from cornelbeam_operator.session import Session


@final
class Commands:
    """Subcommands; each returns its exit code."""

    __slots__ = ('_session',)

    def __init__(self, session: Session) -> None:
        """Initialize with the session that runs the actions."""
        self._session = session

    def apply(
        self,
        file: str,
        *,
        dry_run: bool = False,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Write the objects of a file that differ from the stored ones.

        All objects are checked before the first write. An object that states
        a version is written only if that version is still stored.

        Example::

            cornelbeamctl apply --dry-run selectors.jsonc
            cornelbeamctl apply selectors.jsonc

        :param file: one object or a list, in JSON with comments
        :param dry_run: check and show the changes without writing them
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(changing.apply_file, file=file, is_dry_run=dry_run)
        return self._session.run(action, json, object_api, timeout_ms)

    def diff(
        self,
        file: str,
        *,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Show how the stored objects differ from a file; exit with 1 if so.

        Example::

            cornelbeamctl diff selectors.jsonc

        :param file: one object or a list, in JSON with comments
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(changing.diff_file, file=file)
        return self._session.run(action, json, object_api, timeout_ms)

    def get(
        self,
        kind: str,
        name: str = '',
        *,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Show stored objects in the format that apply and diff read.

        The output includes the version, so that apply refuses to overwrite
        changes made in the meantime.

        Example::

            cornelbeamctl get selector pay-once > pay-once.jsonc

        :param kind: service, selector, labels, failure-domain, introducers
        :param name: name of one object; by default, all objects of the kind
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(reading.get_objects, kind=kind, name=name)
        return self._session.run(action, json, object_api, timeout_ms)

    def delete(
        self,
        kind: str,
        name: str,
        *,
        version: int | None = None,
        dry_run: bool = False,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Delete a stored object, such as an obsolete selector.

        Example::

            cornelbeamctl delete selector pay-once

        :param kind: kind of the object
        :param name: name of the object
        :param version: delete only if this version is still stored
        :param dry_run: show what would be deleted without deleting it
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(
            changing.delete_object,
            desired=DesiredObject(kind, name, None, version),
            is_dry_run=dry_run,
        )
        return self._session.run(action, json, object_api, timeout_ms)

    def label(
        self,
        target: str,
        *changes: str,
        dry_run: bool = False,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Set or remove labels of a target; other labels are kept.

        Example::

            cornelbeamctl label windows-2 tier=gold trial-

        :param target: name of the target
        :param changes: key=value sets a label, key- removes it
        :param dry_run: check and show the changes without writing them
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(
            targets.change_labels,
            target=target,
            changes=changes,
            is_dry_run=dry_run,
        )
        return self._session.run(action, json, object_api, timeout_ms)

    def take_out(
        self,
        domain: str,
        *,
        allow_last: bool = False,
        dry_run: bool = False,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Take a failure domain out of service; it receives no new work.

        Example::

            cornelbeamctl take-out depot-east

        :param domain: name of the failure domain
        :param allow_last: allow taking out the last domain in service
        :param dry_run: check and show the changes without writing them
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(
            targets.switch_domain,
            domain=domain,
            is_in_service=False,
            is_last_allowed=allow_last,
            is_dry_run=dry_run,
        )
        return self._session.run(action, json, object_api, timeout_ms)

    def bring_back(
        self,
        domain: str,
        *,
        dry_run: bool = False,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Bring a failure domain back into service.

        Example::

            cornelbeamctl bring-back depot-east

        :param domain: name of the failure domain
        :param dry_run: check and show the changes without writing them
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(
            targets.switch_domain,
            domain=domain,
            is_in_service=True,
            is_last_allowed=True,
            is_dry_run=dry_run,
        )
        return self._session.run(action, json, object_api, timeout_ms)

    def drain(
        self,
        address: str,
        *,
        dry_run: bool = False,
        json: bool = False,
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Drain an instance: refuse new work, finish the rest and stop.

        Example::

            cornelbeamctl drain 10.2.0.17:9100

        :param address: admin address (ip:port) of its daemon
        :param dry_run: show the status of the daemon without draining it
        :param json: write one JSON object to standard output
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(reading.drain, address=address, is_dry_run=dry_run)
        return self._session.run(action, json, '', timeout_ms)

    def status(
        self,
        *addresses: str,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Show the status of daemons, or a summary of the stored objects.

        Example::

            cornelbeamctl status
            cornelbeamctl status 10.2.0.17:9100

        :param addresses: admin addresses (ip:port) of daemons
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(reading.show_status, addresses=addresses)
        return self._session.run(action, json, object_api, timeout_ms)

    def wait(
        self,
        *addresses: str,
        revision: int | None = None,
        wait_s: float = 30,
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Wait until a change is in force everywhere; list lagging members.

        Example::

            cornelbeamctl wait 10.2.0.17:9100 10.3.0.4:9100

        :param addresses: admin addresses (ip:port), one per service;
            each daemon knows the members of its own service
        :param revision: revision of the change; defaults to the latest one
        :param wait_s: maximum seconds to wait
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        action = partial(
            reading.wait_until_in_force,
            addresses=addresses,
            revision=revision,
            timeout_s=wait_s,
        )
        return self._session.run(action, json, object_api, timeout_ms)

    def explain(
        self,
        service: str,
        method: str,
        path: str,
        *headers: str,
        admin: str = '',
        json: bool = False,
        object_api: str = '',
        timeout_ms: int = 5000,
    ) -> ExitCode:
        """Explain which backend servers a request would reach, and why.

        Example::

            cornelbeamctl explain billing-desk POST /payments
            cornelbeamctl explain billing-desk POST /payments desk=1
            cornelbeamctl explain windows GET / --admin 10.2.0.17:9100

        :param service: name of the service
        :param method: method of the request
        :param path: path of the request
        :param headers: name=value pairs; not supported with --admin
        :param admin: admin address of a daemon to ask instead of the store
        :param json: write one JSON object to standard output
        :param object_api: URL; defaults to $CORNELBEAM_OBJECT_API
        :param timeout_ms: milliseconds to wait for each answer
        """
        pairs = (header.partition('=') for header in headers)
        facts = RequestFacts(
            service,
            method.upper(),
            path,
            {name.lower(): text for name, _, text in pairs},
        )

        action = partial(reading.explain_request, facts=facts, address=admin)
        return self._session.run(action, json, object_api, timeout_ms)
