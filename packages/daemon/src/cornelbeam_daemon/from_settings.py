"""Build core objects from the settings of a daemon."""

import time

from cornelbeam_core.admission import AdmissionSettings
from cornelbeam_core.membership import Membership
from cornelbeam_core.membership_actions import MembershipSettings
from cornelbeam_core.targets import Target
from cornelbeam_settings import DaemonSettings


def make_own_target(settings: DaemonSettings, address: str) -> Target:
    """Return this daemon as a target, with a new incarnation."""
    instance = settings.instance
    return Target(
        instance.name,
        instance.service,
        instance.domain,
        address,
        # A later run of the same target has a higher incarnation.
        time.time_ns(),
        {**instance.labels, 'region': instance.region},
    )


def make_admission_settings(settings: DaemonSettings) -> AdmissionSettings:
    """Return the settings of the admission limit."""
    return AdmissionSettings(
        slot_count=settings.backend_server.slot_count,
        cold_slot_count=settings.backend_server.cold_slot_count,
        queue_count=settings.limits.queue_count,
        queue_ms=settings.limits.queue_ms,
    )


def make_membership(settings: DaemonSettings, own: Target) -> Membership:
    """Return the membership of the own service."""
    fleet = settings.fleet
    return Membership(
        own,
        MembershipSettings(
            ping_period_ms=fleet.ping_period_ms,
            suspicion_ms=fleet.suspicion_ms,
        ),
    )


def find_called_services(settings: DaemonSettings) -> list[str]:
    """Return the called services whose views are kept, without the own."""
    return [
        service
        for service in settings.fleet.called_services
        if service != settings.instance.service
    ]
