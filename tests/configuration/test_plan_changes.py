"""A plan that changes in service: what a customer gets, and its books. Simulated; times in ms."""

import pytest
from fake_gateway import Story

from granitedock.configuration.transition import Transitions, carried
from granitedock.configuration.windows import window_of, with_window
from granitedock.lab.plansim import PlanChange, PlanFleet, worst_part
from granitedock.lab.sharesim import Offer
from granitedock.policy.decisions import Book, Bucket
from granitedock.policy.interface import Customer, Ending, Plan

FROM_MS, HEARD_MS, AFTER_MS = 15_000.0, 5_000.0, 12_000.0


def plan(rate, burst, window_ms=0.0, ceiling=(0.0, 0.0, 0.0)):
    """Units a second, and at once."""
    ceiling_rate, ceiling_burst, slack = ceiling
    return Plan("p", rate / 1000, burst, 0, 1, 0, 0.5, ceiling_rate / 1000, ceiling_burst, slack, window_ms)


CHANGES = {
    "raised in the same window": (plan(20, 40), plan(30, 40, 4000.0)),
    "lowered in the same window": (plan(30, 60), plan(20, 60, 4000.0)),
    "raised to another window": (plan(10, 20), plan(40, 240)),
    "lowered to another window": (plan(40, 240), plan(10, 20)),
}


def over_the_change(gateways, before, after, forget=False):
    """The most that a customer who asks for far more got, as a part of the bound; without a change where
    `after` is `before`."""
    offer = Offer(1, before, 150, gateways)
    change = PlanChange(after, FROM_MS, FROM_MS + HEARD_MS)
    fleet = PlanFleet(gateways, [offer], [change] if after is not before else [], seed=1)
    if forget:
        for desk in fleet.desks.values():
            desk.changed = lambda new, desk=desk: fresh_books(desk, new)
    end = FROM_MS + HEARD_MS + AFTER_MS
    fleet.run(end)
    return worst_part(offer, change, window_of(before) == window_of(after), end)


def fresh_books(desk, new):
    """As if nothing was carried over."""
    desk.plans[new.name] = new
    for customer in desk.gateway.books:
        customer.book = Book(new, customer.book.spread, desk.fleet.unix())


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("gateways", [4, 20, 200])
def test_a_customer_gets_no_more_over_a_change_than_its_bound_and_the_fleets_own_overshoot(gateways, name):
    before, after = CHANGES[name]
    without = over_the_change(gateways, before, before)
    assert over_the_change(gateways, before, after) <= without + 0.01


@pytest.mark.parametrize("name", ["raised in the same window", "lowered in the same window"])
def test_without_what_was_used_a_change_gives_a_fresh_burst(name):
    """That the story above can fail."""
    before, after = CHANGES[name]
    assert over_the_change(4, before, after, forget=True) > over_the_change(4, before, before) + 0.03


def used_up(before, now=100_000.0):
    """A book whose customer has taken its whole burst."""
    book = Book(before, 2, now)
    book.turn(now)
    book.spell, book.seen_at, book.out = before.burst, now, 3
    return book


def test_the_count_goes_on_under_the_same_names_where_the_window_is_kept():
    before, after = plan(20, 40), plan(30, 40, 4000.0)
    book = used_up(before)
    book.current, book.previous, book.debt = 33.0, 21.0, 2.0
    made = carried(book, after, 100_000.0)
    assert (made.window_ms, made.window, made.current, made.previous, made.debt) == (
        4000.0,
        book.window,
        33.0,
        21.0,
        2.0,
    )
    assert (made.out, made.plan) == (3, after)


def test_changes_to_and_fro_give_no_burst():
    book = used_up(plan(20, 40))
    for after in (plan(20, 400), plan(1, 2), plan(20, 400), plan(20, 40)):
        book = carried(book, after, 100_000.0)
    assert book.spell_at(100_000.0) == 40.0


def test_the_emergency_bucket_keeps_what_it_holds_and_gains_nothing_by_a_change():
    book = used_up(plan(20, 40))
    book.lets_in(1.0, 100_500.0, 2)
    held = book.local.room(100_500.0)
    made = carried(book, plan(20, 400), 100_500.0)
    assert made.local.room(100_500.0) == held
    assert made.local.rate == 0.01


def test_a_ceiling_that_is_lowered_holds_at_once_and_one_that_is_raised_grows_by_the_new_rate():
    before = plan(20, 40, ceiling=(20.0, 40.0, 8.0))
    book = Book(before, 2, 100_000.0)
    book.ceiling = Bucket(0.01, 20.0, 20.0, 100_000.0)  # full, of two gateways
    low = carried(book, plan(20, 40, ceiling=(2.0, 4.0, 1.0)), 100_000.0)
    assert (low.ceiling.room(100_000.0), low.ceiling.rate) == (2.0, 0.001)
    high = carried(low, plan(20, 40, ceiling=(200.0, 400.0, 8.0)), 100_000.0)
    assert high.ceiling.room(100_000.0) == 2.0
    assert high.ceiling.room(100_010.0) == 3.0  # ten milliseconds of a half of 200 a second


def test_a_customer_first_seen_after_a_raise_has_a_ceiling_grown_by_the_old_rate_until_then():
    transitions = Transitions()
    before, after = plan(20, 40, ceiling=(2.0, 40.0, 8.0)), plan(20, 40, ceiling=(200.0, 4000.0, 8.0))
    transitions.changed(before, 120_000.0)
    book = transitions.open_book(after, 2, 120_000.0, 0, 110_000.0)
    assert book.ceiling.room(120_000.0) == 2.0 + 10.0  # half of the slack's share, ten seconds at 1 a second
    fresh = Book(after, 2, 120_000.0, 0, 110_000.0)
    assert fresh.ceiling.room(120_000.0) > 500.0  # what it would be without


def test_a_customer_first_seen_after_a_change_of_window_has_its_rate_and_no_burst():
    transitions = Transitions()
    transitions.changed(plan(10, 20), 100_000.0)
    book = transitions.open_book(plan(40, 240), 2, 100_250.0, 0, 0.0)
    assert book.spell_at(100_250.0) == 20.0 - 10.0  # of what could have been used, paid at the new rate
    assert transitions.open_book(plan(40, 240), 2, 161_000.0, 0, 0.0).spell_at(161_000.0) == 0.0


def test_what_was_in_force_is_forgotten_in_time():
    transitions = Transitions()
    for n in range(100):
        transitions.changed(plan(10, 20), 1000.0 * n)
    assert len(transitions.former["p"]) <= 61


def test_a_window_is_kept_while_it_holds_one_to_four_fillings_of_the_burst():
    first = with_window({"Name": "p", "Refill": 10, "MostAtOnce": 20}, None)
    assert first["WindowMs"] == 4000.0
    raised = with_window({"Name": "p", "Refill": 19, "MostAtOnce": 20}, first)
    assert raised["WindowMs"] == 4000.0
    assert with_window({"Name": "p", "Refill": 5, "MostAtOnce": 20}, raised)["WindowMs"] == 4000.0
    assert with_window({"Name": "p", "Refill": 4, "MostAtOnce": 20}, raised)["WindowMs"] == 10_000.0
    assert with_window({"Name": "p", "Refill": 100, "MostAtOnce": 20}, raised)["WindowMs"] == 1000.0


def test_a_request_in_hand_ends_on_the_new_book():
    """Its call to the counter and its attempt were begun under the old one."""
    story, customer = Story(), Customer(99)
    story.ask(customer=customer, plan=plan(10, 20))
    customer.book = carried(customer.book, plan(10, 400), story.gateway.now)
    story.counter(total=1)
    assert len(story.forwards) == 1 and customer.book.out == 1
    story.ends(Ending.DONE)
    assert customer.book.out == 0
    assert not story.errored and not story.deferred
