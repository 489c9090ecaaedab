"""One gateway process: the service and, if enabled, membership and the configuration service.

In a running gateway, this is the only module that joins the service with these optional components. Each
component is imported only if it is enabled.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from twisted.internet.error import CannotListenError
from twisted.internet.main import installReactor
from twisted.logger import globalLogBeginner

from granitedock import STARTED_AT_MS
from granitedock.platform_file import PlatformFileError, load
from granitedock.service.clock import Clock
from granitedock.service.gateway_service import GatewayService
from granitedock.service.reactor import GatewayReactor
from granitedock.service.timer_queue import TimerQueue

if TYPE_CHECKING:
    from twisted.logger import ILogObserver

    from granitedock.configuration.gateway_attachment import GatewayAttachment
    from granitedock.configuration.settings import GatewayFile
    from granitedock.membership.settings import MembershipFile
    from granitedock.membership_services import MembershipServices

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


class GatewayProcess(NamedTuple):
    """A gateway and its optional components; a component that is not enabled is None."""

    service: GatewayService
    membership: MembershipServices | None
    configuration: GatewayAttachment | None

    def start(self) -> None:
        """Listen and start all components; raises the errors of `GatewayService.start`."""
        self.service.start()


def build_gateway(
    path: str,
    reactor: GatewayReactor,
    membership_file: MembershipFile | None = None,
    operators_path: str | None = None,
    configuration_file: GatewayFile | None = None,
) -> GatewayProcess:
    """Build a gateway from the platform file at `path`, without starting it.

    `membership_file` holds the operators' settings for membership, quota sharing and the outlier detector,
    `operators_path` is the path of their settings for the gateway itself, and `configuration_file` holds
    those for the configuration service. Each is None if it is not given. Raises PlatformFileError and the
    errors of `GatewayService`.
    """
    contents = load(path)
    service = GatewayService(path, contents, reactor, operators_path)
    membership = attach_membership(service, contents["settings"], membership_file)
    configuration = attach_configuration(service, configuration_file)
    for component in (configuration, membership):
        if component is not None:
            service.start_hooks.append(component.start)
    return GatewayProcess(service, membership, configuration)


def attach_membership(
    service: GatewayService, settings: dict[str, Any], file: MembershipFile | None
) -> MembershipServices | None:
    """Attach membership, with quota sharing and the outlier detector if these are enabled.

    Returns None, and attaches nothing, unless the operators enabled membership and the deployment's settings
    permit messages between gateways. `settings` are those of the platform file.
    """
    if file is None or not file.enabled:
        return None
    from granitedock.membership.settings import membership_permitted
    from granitedock.membership_services import MembershipServices

    state_machine = service.state_machine
    if not membership_permitted(settings):
        service.log.event(
            "membership disabled",
            why="the platform file's settings do not permit messages between gateways",
        )
        return None
    services = MembershipServices(
        file, service.name, settings, int(STARTED_AT_MS), service.reactor, service.log
    )
    service.effects.exit_hooks.append(services.leave)
    state_machine.commands.status_commands[b"FLEET"] = services.members_json
    state_machine.policy.rate_limiter.membership = services.transport
    if file.shared.enabled:
        state_machine.policy.rate_limiter.quota_sharing = services.share_quotas(
            service.clock, service.handle_input
        )
    if file.hosts.enabled:
        detector = services.detect_outliers(
            service.clock, service.handle_input, lambda: state_machine.watch.version
        )
        state_machine.policy.load_balancer.ejection.detector = detector
        state_machine.endpoints.outlier_detector = detector
        state_machine.commands.status_commands[b"HOSTS"] = services.hosts_json
    return services


def attach_configuration(service: GatewayService, file: GatewayFile | None) -> GatewayAttachment | None:
    """Attach the configuration service, which distributes plans and request classes from control processes.

    Returns None, and attaches nothing, unless the operators enabled it.
    """
    if file is None or not file.enabled:
        return None
    from granitedock.configuration.gateway_attachment import GatewayAttachment

    state_machine = service.state_machine
    attachment = GatewayAttachment(
        file, service.name, state_machine, service.reactor, service.clock, service.log
    )
    state_machine.commands.status_commands[b"CONFIG"] = attachment.status_json
    service.effects.exit_hooks.append(attachment.stop)
    return attachment


def serve(
    path: str,
    membership_file: MembershipFile | None = None,
    operators_path: str | None = None,
    configuration_file: GatewayFile | None = None,
) -> int:
    """Run a gateway until a signal ends it, and return the process's exit status.

    The status is 1 if the gateway cannot start, else 0. The arguments are those of `build_gateway`.
    """
    # Signals that arrive during the start are recorded and handled after it. With the default actions they
    # would end the process, which drops connections that the kernel has already completed, and a new platform
    # file would not be read.
    pending: list[int] = []
    for signal_number in SIGNALS:
        signal.signal(signal_number, lambda signal_number, _frame: pending.append(signal_number))
    reactor = GatewayReactor(TimerQueue(Clock()), STARTED_AT_MS)
    installReactor(reactor)
    try:
        gateway = build_gateway(path, reactor, membership_file, operators_path, configuration_file)
        gateway.start()
    except PlatformFileError as error:
        print(f"granitedock: cannot start: {error}", file=sys.stderr)
        return 1
    except (OSError, ValueError, KeyError, TypeError, AttributeError, CannotListenError) as error:
        print(f"granitedock: cannot start with {path}: {type(error).__name__}: {error}", file=sys.stderr)
        return 1
    service = gateway.service
    network_errors = cast("ILogObserver", service.log_network_error)
    globalLogBeginner.beginLoggingTo([network_errors], redirectStandardIO=False)
    reactor.callWhenRunning(service.install_signal_handlers, pending)
    reactor.run()
    service.log.log_counters("counters at exit")
    return 0
