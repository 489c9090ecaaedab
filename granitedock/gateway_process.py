"""One gateway process: the service, with membership and the configuration service where they are turned on.

The only module that knows the service and these parts. Each of them is imported only where it is on.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from twisted.internet.error import CannotListenError
from twisted.internet.main import installReactor
from twisted.logger import globalLogBeginner

from granitedock import BEGAN_MS
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
    """A gateway and its optional parts; None for one that is off."""

    service: GatewayService
    membership: MembershipServices | None
    configuration: GatewayAttachment | None

    def start(self) -> None:
        """Listen and start all parts. Raises as `GatewayService.start`."""
        self.service.start()


def build_gateway(
    path: str,
    reactor: GatewayReactor,
    membership_file: MembershipFile | None = None,
    operators_path: str | None = None,
    configuration_file: GatewayFile | None = None,
) -> GatewayProcess:
    """A gateway by the platform file at `path`, not yet started.

    `membership_file` are the operators' settings of membership, quota sharing and the outlier detector,
    `operators_path` the path of their settings of the gateway itself, `configuration_file` those of the
    configuration service; None for each that is not given. Raises PlatformFileError, and as `GatewayService`.
    """
    contents = load(path)
    service = GatewayService(path, contents, reactor, operators_path)
    membership = attach_membership(service, contents["settings"], membership_file)
    configuration = attach_configuration(service, configuration_file)
    for part in (configuration, membership):
        if part is not None:
            service.start_hooks.append(part.start)
    return GatewayProcess(service, membership, configuration)


def attach_membership(
    service: GatewayService, settings: dict[str, Any], file: MembershipFile | None
) -> MembershipServices | None:
    """The view of the other gateways, where the operators turned it on and the deployment's settings let
    gateways talk to each other; with it quota sharing and the outlier detector, each where it is on.
    `settings` are the platform file's."""
    if file is None or not file.enabled:
        return None
    from granitedock.membership.settings import membership_permitted
    from granitedock.membership_services import MembershipServices

    state_machine = service.state_machine
    if not membership_permitted(settings):
        service.log.event("membership disabled", why="the settings do not let gateways talk to each other")
        return None
    link = MembershipServices(file, service.name, settings, int(BEGAN_MS), service.reactor, service.log)
    service.effects.exit_hooks.append(link.leave)
    state_machine.commands.status_commands[b"FLEET"] = link.show_members
    state_machine.policy.rate_limiter.membership = link.transport
    if file.shared.enabled:
        state_machine.policy.rate_limiter.quota_sharing = link.share_quotas(
            service.clock, service.handle_input
        )
    if file.hosts.enabled:
        detector = link.detect_outliers(
            service.clock, service.handle_input, lambda: state_machine.watch.version
        )
        state_machine.policy.load_balancer.ejection.detector = detector
        state_machine.endpoints.outlier_detector = detector
        state_machine.commands.status_commands[b"HOSTS"] = link.show_hosts
    return link


def attach_configuration(service: GatewayService, file: GatewayFile | None) -> GatewayAttachment | None:
    """Plans and request classes from control processes, where the operators turned it on."""
    if file is None or not file.enabled:
        return None
    from granitedock.configuration.gateway_attachment import GatewayAttachment

    state_machine = service.state_machine
    link = GatewayAttachment(file, service.name, state_machine, service.reactor, service.clock, service.log)
    state_machine.commands.status_commands[b"CONFIG"] = link.status_json
    service.effects.exit_hooks.append(link.stop)
    return link


def serve(
    path: str,
    membership_file: MembershipFile | None = None,
    operators_path: str | None = None,
    configuration_file: GatewayFile | None = None,
) -> int:
    """Run a gateway until a signal ends it; the arguments are those of `build_gateway`. The process's exit
    status."""
    # Guards against signals that come during the start: by default they would end the process over
    # connections that the kernel has completed, and a new file would go unread.
    pending: list[int] = []
    for number in SIGNALS:
        signal.signal(number, lambda number, _frame: pending.append(number))
    reactor = GatewayReactor(TimerQueue(Clock()), BEGAN_MS)
    installReactor(reactor)
    try:
        gateway = build_gateway(path, reactor, membership_file, operators_path, configuration_file)
        gateway.start()
    except PlatformFileError as error:
        print(f"granitedock: cannot start: {error}", file=sys.stderr)
        return 1
    except (OSError, ValueError, KeyError, TypeError, AttributeError, CannotListenError) as error:
        print(f"granitedock: cannot start by {path}: {type(error).__name__}: {error}", file=sys.stderr)
        return 1
    service = gateway.service
    network_errors = cast("ILogObserver", service.log_network_error)
    globalLogBeginner.beginLoggingTo([network_errors], redirectStandardIO=False)
    reactor.callWhenRunning(service.install_signal_handlers, pending)
    reactor.run()
    service.log.log_counters("counters at exit")
    return 0
