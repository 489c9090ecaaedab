"""The service of one gateway process: passes inputs to the state machine and carries out its effects.

It reads the platform file and the operators' settings at the start and on SIGHUP. It keeps no state of a
request or a connection and makes no decisions.
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
from granitedock.service import counter_names
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


SLOW_ITERATION_MS = 100.0  # A longer iteration of the event loop is counted and logged.


def initial_endpoint_list(contents: dict[str, Any], path: str) -> EndpointListUpdate | None:
    """Return the last endpoint list of this gateway from the contents of the platform file, or None.

    Raises PlatformFileError if the list cannot be parsed.
    """
    if not contents.get("known"):
        return None
    try:
        return parse_endpoint_list(contents["known"])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        message = f"{path}: known: no list of hosts: {type(error).__name__}: {error}"
        raise PlatformFileError(message) from None


class GatewayService:
    """One gateway with its files, event log, state machine and effects."""

    def __init__(
        self,
        path: str,
        contents: dict[str, Any],
        reactor: GatewayReactor,
        operators_path: str | None = None,
    ) -> None:
        """Create the gateway from the validated contents of its platform file.

        `path` is the path of the platform file and `operators_path` that of the operators' settings, or None.
        The contents are not kept, since there may be many plans. Raises PlatformFileError and
        toml_file.TomlFileError, and the errors of `GatewayStateMachine` for invalid settings.
        """
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
        reactor.iteration_ended = self.observe_iteration
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
        self.start_hooks: list[Callable[[], object]] = []  # Called in this order once the port listens.
        self.inputs: deque[tuple[Any, ...]] = deque()
        self.processing = False

    # Inputs and effects.

    def handle_input(self, *input_with_arguments: Any) -> None:
        """Process an input, given as its kind and arguments; inputs that its effects cause are queued."""
        self.inputs.append(input_with_arguments)
        if self.processing:
            return
        self.processing = True
        try:
            while self.inputs:
                self.process_input(*self.inputs.popleft())
        finally:
            self.processing = False

    def process_input(self, *input_with_arguments: Any) -> None:
        """Process one input and its effects.

        An error in the input or in an effect is counted and logged, and does not stop the others.
        """
        try:
            effects = self.state_machine.handle(
                self.clock(), *input_with_arguments, earliest_arrival=self.reactor.earliest_arrival_ms
            )
        except Exception:  # noqa: BLE001 - An error with one request must not affect the others.
            self.log_error(input_with_arguments[0].value, traceback.format_exc())
            effects = self.state_machine.take_effects()
        for effect, *arguments in effects:
            try:
                effect(*arguments)
            except Exception:  # noqa: BLE001 - An error in one effect must not stop the effects after it.
                self.log_error(input_with_arguments[0].value, traceback.format_exc())

    def log_error(self, input_name: str, trace: str) -> None:
        """Count and log an unexpected error that occurred with this input."""
        self.log.counts["faults"] += 1
        self.log.event("fault", input=input_name, trace=trace)

    def observe_iteration(self, duration_ms: float) -> None:
        """Count and log an iteration of the event loop in which other connections and timers waited long."""
        if duration_ms > SLOW_ITERATION_MS:
            self.log.counts[counter_names.SLOW_ITERATIONS] += 1
            self.log.event("event loop slow", ms=round(duration_ms, 1))

    def log_network_error(self, event: dict[str, Any]) -> None:
        """Observe Twisted's log, and count and log errors that Twisted caught and writes only there."""
        if "log_failure" in event:
            self.log_error("network", event["log_failure"].getTraceback())

    # Start and shutdown.

    def start(self) -> None:
        """Start the state machine, then listen.

        Raises CannotListenError if the port cannot be opened and ValueError if its number is invalid.
        """
        host, _, port = self.listen_address.rpartition(":")
        factory = ClientProtocolFactory(self.handle_input, self.limits, self.reactor.input_scheduler)
        self.handle_input(Input.START)
        self.effects.port = ClientPort(int(port), factory, host.strip("[]"), self.reactor, self.limits)
        self.effects.port.startListening()
        for hook in self.start_hooks:
            hook()
        self.log.event("listening", address=self.listen_address)
        gc.collect()
        gc.freeze()

    def shut_down(self) -> None:
        """Begin a graceful shutdown."""
        self.handle_input(Input.LIFECYCLE, LifecycleEvent.TERMINATE)

    def install_signal_handlers(self, pending: list[int]) -> None:
        """Install the signal handlers, then handle `pending`, the signals received so far, in order."""
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

    # Reload on SIGHUP.

    def reload(self) -> None:
        """Read both files again and apply what changed.

        A file that is incomplete, missing or invalid in a field is rejected and changes nothing.
        """
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
        """Apply the limit of the event log, and log whether other limits differ, which needs a restart.

        A file with an error is rejected and changes nothing.
        """
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
        """Return the current operators' settings; the module that reads them is imported only if needed.

        Raises toml_file.TomlFileError.
        """
        from granitedock.service.operator_settings import load as load_settings

        return load_settings(path)
