"""The service of one gateway process: feeds inputs to the state machine and carries out its effects.

Reads the platform file and the operators' settings at the start and on SIGHUP. Keeps no state of a request or
of a connection, and decides nothing.
"""

from __future__ import annotations

import gc
import signal
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

from granitedock.event_log import EventLog
from granitedock.platform_file import PlatformFileError, load
from granitedock.service.client_protocol import ClientProtocolFactory
from granitedock.service.discovery_protocol import EndpointListUpdate, parse_endpoint_list
from granitedock.service.dispatcher import GatewayParameters, GatewayStateMachine
from granitedock.service.effects import ReactorEffects, ServerAddresses
from granitedock.service.inputs import Input
from granitedock.service.lifecycle import LifecycleEvent
from granitedock.service.limits import Limits
from granitedock.service.listener import ClientPort
from granitedock.service.reactor import GatewayReactor

if TYPE_CHECKING:
    from granitedock.service.operator_settings import OperatorSettings


def initial_endpoint_list(contents: dict[str, Any], path: str) -> EndpointListUpdate | None:
    """The endpoint list as this gateway last had it, of the platform file's contents; None where there is
    none. Raises PlatformFileError where it can't be read."""
    if not contents.get("known"):
        return None
    try:
        return parse_endpoint_list(contents["known"])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        why = f"{path}: known: no list of hosts: {type(error).__name__}: {error}"
        raise PlatformFileError(why) from None


class GatewayService:
    """One gateway: its files, log, state machine and effects."""

    def __init__(
        self,
        path: str,
        contents: dict[str, Any],
        reactor: GatewayReactor,
        operators_path: str | None = None,
    ) -> None:
        """`path` is the platform file's and `contents` what it holds, checked; `operators_path` is that of
        the operators' settings, or None. Raises PlatformFileError and toml_file.TomlFileError, and what
        `GatewayStateMachine` raises by wrong settings. The contents are not kept, as plans may be many."""
        self.path = path
        self.operators_path = operators_path
        limits = Limits.from_platform_file(contents)
        if operators_path is not None:
            limits = self.load_operator_settings(operators_path).apply_to(limits)
        self.limits = limits
        self.name: str = contents["name"]
        self.reactor = reactor
        self.clock = reactor.timer_queue.clock
        self.log = EventLog(self.name, self.clock, limits.log_lines)
        reactor.timer_queue.handle_input = self.handle_input
        addresses = ServerAddresses.from_platform_file(contents)
        self.effects = ReactorEffects(reactor, self.handle_input, addresses, limits)
        initial_list = initial_endpoint_list(contents, path)
        settings = contents["settings"]
        seed = int(contents["seed"], 16)
        now = self.clock()
        self.state_machine = GatewayStateMachine(
            GatewayParameters(
                now,
                limits,
                settings,
                seed,
                initial_endpoints=initial_list,
                io=self.effects,
                event_log=self.log,
                process_started_at=min(reactor.earliest_arrival_ms, now),
            )
        )
        self.listen_address: str = contents["listen"]
        self.start_hooks: list[Callable[[], object]] = []  # called in this order once the port listens
        self.inputs: deque[tuple[Any, ...]] = deque()
        self.processing = False

    # Inputs and effects.

    def handle_input(self, *happened: Any) -> None:
        """One input, its name and arguments; what effects bring about at once waits its turn."""
        self.inputs.append(happened)
        if self.processing:
            return
        self.processing = True
        try:
            while self.inputs:
                self.process_input(*self.inputs.popleft())
        finally:
            self.processing = False

    def process_input(self, *happened: Any) -> None:
        """One input and its effects. An error in one of them is counted and logged, and ends nothing else."""
        try:
            effects = self.state_machine.handle(
                self.clock(), *happened, earliest_arrival=self.reactor.earliest_arrival_ms
            )
        except Exception:  # noqa: BLE001 - guards all other requests against an error met with one
            self.log_error(happened[0].value, traceback.format_exc())
            effects = self.state_machine.take_effects()
        for effect, *arguments in effects:
            try:
                effect(*arguments)
            except Exception:  # noqa: BLE001 - guards the effects behind it
                self.log_error(happened[0].value, traceback.format_exc())

    def log_error(self, input_name: str, trace: str) -> None:
        """Count and log an unexpected error, met with this input."""
        self.log.counts["faults"] += 1
        self.log.event("fault", input=input_name, trace=trace)

    def log_network_error(self, event: dict[str, Any]) -> None:
        """An observer of Twisted's log: errors that the library caught and only writes there."""
        if "log_failure" in event:
            self.log_error("network", event["log_failure"].getTraceback())

    # Start and shutdown.

    def start(self) -> None:
        """Start the state machine, then listen. Raises CannotListenError and ValueError."""
        host, _, port = self.listen_address.rpartition(":")
        factory = ClientProtocolFactory(self.handle_input, self.limits)
        self.handle_input(Input.START)
        self.effects.port = ClientPort(int(port), factory, host.strip("[]"), self.reactor, self.limits)
        self.effects.port.startListening()
        for hook in self.start_hooks:
            hook()
        self.log.event("listening", address=self.listen_address)
        gc.collect()
        gc.freeze()

    def shut_down(self) -> None:
        """Begin the graceful shutdown."""
        self.handle_input(Input.LIFECYCLE, LifecycleEvent.TERMINATE)

    def install_signal_handlers(self, pending: list[int]) -> None:
        """From now on a signal acts at once; `pending` are those that came during the start, in order."""
        actions: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.shut_down,
            signal.SIGINT: self.shut_down,
            signal.SIGHUP: self.reload,
            signal.SIGUSR1: partial(self.log.log_counters, "counters"),
        }

        def handle(number: int, _frame: object) -> None:
            self.reactor.callFromThread(actions[number])

        for number in actions:
            signal.signal(number, handle)
        for number in pending:
            actions[number]()

    # SIGHUP.

    def reload(self) -> None:
        """Read the files again and follow what changed. Guards against a file that is half written, gone or
        wrong in a field: then all stays as it was."""
        if self.operators_path is not None:
            self.reload_operator_settings(self.operators_path)
        try:
            addresses = ServerAddresses.from_platform_file(load(self.path))
        except PlatformFileError as error:
            self.log.counts["files_refused"] += 1
            self.log.event("platform file rejected", why=str(error))
            return
        self.log.event("platform file reloaded", counter=addresses.counter, discovery=addresses.discovery)
        self.handle_input(Input.ADDRESSES_CHANGED, *self.effects.update_addresses(addresses))

    def reload_operator_settings(self, path: str) -> None:
        """Take the log's bound of lines; whether other limits differ, and so wait for the next start, is
        logged. Guards against a file with an error, which changes nothing."""
        try:
            settings = self.load_operator_settings(path)
        except ValueError as error:
            self.log.event("operator settings rejected", why=str(error))
            return
        lines = settings.log.lines_a_second
        limits_differ = settings.apply_to(self.limits) != replace(self.limits, log_lines=lines)
        self.log.max_lines_per_second = lines
        self.log.event(
            "operator settings reloaded", max_lines_per_second=lines, limits_need_restart=limits_differ
        )

    @staticmethod
    def load_operator_settings(path: str) -> OperatorSettings:
        """The operators' settings as they stand now; their reader is imported only where there is a file.
        Raises toml_file.TomlFileError."""
        from granitedock.service.operator_settings import load as load_settings

        return load_settings(path)
