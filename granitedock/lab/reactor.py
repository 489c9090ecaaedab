"""The process's Twisted reactor, typed, and the thread that runs it for tests and scenarios."""

from __future__ import annotations

from collections.abc import Callable
from threading import Thread
from typing import TYPE_CHECKING, Any, ParamSpec, TypeVar, cast

from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread

if TYPE_CHECKING:
    from twisted.internet.posixbase import PosixReactorBase

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")

REACTOR = cast("PosixReactorBase", reactor)


class ReactorThread:
    """The thread that runs the reactor from the first call until the process ends."""

    thread: Thread | None = None

    @classmethod
    def ensure_running(cls) -> None:
        """Start the thread if it is not running."""
        if cls.thread is None:
            options = {"installSignalHandlers": False}
            cls.thread = Thread(target=REACTOR.run, kwargs=options, daemon=True)
            cls.thread.start()


def on_reactor(
    function: Callable[Parameters, Result], *args: Parameters.args, **options: Parameters.kwargs
) -> Any:
    """Call `function` in the reactor's thread and wait for its result, or the result of its Deferred.

    Raises the exceptions of `function`. Call this from any thread except the reactor's.
    """
    ReactorThread.ensure_running()
    return blockingCallFromThread(REACTOR, function, *args, **options)
