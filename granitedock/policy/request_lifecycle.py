"""The lifecycle of a request, from its receipt to its single final answer."""

from __future__ import annotations

from granitedock.policy.states import RequestEvent, RequestState

# A state and an event give the next state and the name of a `Gateway` method or None. The method returns the
# next event or None.
REQUEST = {
    (RequestState.NEW, RequestEvent.RECEIVED): (RequestState.CHECKING_QUOTA, "check_quota"),
    (RequestState.CHECKING_QUOTA, RequestEvent.WITHIN_QUOTA): (RequestState.CHOOSING_HOST, "send"),
    (RequestState.CHECKING_QUOTA, RequestEvent.OVER_QUOTA): (RequestState.CHOOSING_HOST, "send_over_quota"),
    (RequestState.CHECKING_QUOTA, RequestEvent.LATE_RETRY): (RequestState.FINISHED, "reject_or_fail"),
    (RequestState.CHECKING_QUOTA, RequestEvent.NO_TOTAL): (
        RequestState.CHECKING_QUOTA,
        "apply_local_fallback",
    ),
    (RequestState.CHECKING_QUOTA, RequestEvent.CLIENT_GONE): (RequestState.FINISHED, "refund"),
    (RequestState.CHOOSING_HOST, RequestEvent.SENT): (RequestState.IN_FLIGHT, None),
    (RequestState.CHOOSING_HOST, RequestEvent.NO_HOST): (RequestState.FINISHED, "reject_or_fail"),
    (RequestState.IN_FLIGHT, RequestEvent.ANSWERED): (RequestState.FINISHED, None),
    (RequestState.IN_FLIGHT, RequestEvent.LOST): (RequestState.CHOOSING_HOST, "send"),
    (RequestState.IN_FLIGHT, RequestEvent.OVERDUE): (RequestState.IN_FLIGHT, "cancel_if_silent"),
    (RequestState.IN_FLIGHT, RequestEvent.CLIENT_GONE): (RequestState.FINISHED, None),
    (RequestState.IN_FLIGHT, RequestEvent.RESPONSE_STARTED): (RequestState.RESPONDING, None),
    (RequestState.RESPONDING, RequestEvent.ANSWERED): (RequestState.FINISHED, None),
    (RequestState.RESPONDING, RequestEvent.LOST): (RequestState.FINISHED, "reject_or_fail"),
    (RequestState.RESPONDING, RequestEvent.CLIENT_GONE): (RequestState.FINISHED, None),
}
