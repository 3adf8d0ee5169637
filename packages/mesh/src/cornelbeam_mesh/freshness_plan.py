"""Whom a daemon asks for a proof, among the daemons that it knows."""

from typing import final

from cornelbeam_core.freshness_proof import Role
from cornelbeam_core.freshness_sources import SourcePlan, plan_sources

from cornelbeam_mesh.members import Members


@final
class FreshnessPlan:
    """Keeps the plan of sources, and which of them are avoided."""

    __slots__ = (
        '_avoided_until_s',
        '_domain',
        '_domains',
        '_is_outdated',
        '_members',
        '_plan',
    )

    def __init__(self, domain: str, members: Members) -> None:
        """Plan for the daemon of ``members``, which is in ``domain``."""
        self._domain = domain
        self._members = members
        self._domains = {members.own_name: domain}
        self._plan = plan_sources(members.own_name, self._domains)
        self._is_outdated = True
        self._avoided_until_s: dict[str, float] = {}

    def note_change(self) -> None:
        """Look at the members again when the plan is needed."""
        self._is_outdated = True

    def get(self) -> SourcePlan:
        """Return the plan for the members that are not leaving."""
        if not self._is_outdated:
            return self._plan
        self._is_outdated = False
        domains = {
            entry.name: entry.domain
            for entry in self._members.others()
            if not entry.is_leaving
        }
        domains[self._members.own_name] = self._domain
        if domains != self._domains:
            self._domains = domains
            self._avoided_until_s = {}
            self._plan = plan_sources(self._members.own_name, domains)
        return self._plan

    def role(self, now_s: float) -> Role:
        """Return the role while the avoided sources are out."""
        return self.get().role_without(self.avoided(now_s))

    def avoid(self, name: str, until_s: float) -> None:
        """Ask a source last for a time."""
        self._avoided_until_s[name] = until_s

    def readmit(self, name: str) -> None:
        """Ask a source in its turn again."""
        self._avoided_until_s.pop(name, None)

    def avoided(self, now_s: float) -> frozenset[str]:
        """Return the sources that have lately not answered or helped."""
        return frozenset(
            name
            for name, until_s in self._avoided_until_s.items()
            if until_s > now_s
        )
