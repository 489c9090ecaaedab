"""The address that a follower connects to. Times are in ms."""

from configuration_helpers import LoopbackTransport

from granitedock.configuration.follower_timing import address_order


def test_a_follower_returns_to_its_first_address_within_twice_the_return_interval(writer):
    first, second = address_order("g1", ["a", "b"])
    transport = LoopbackTransport({"a": writer, "b": writer})
    transport.start()
    transport.cut_connection()
    transport.establish_connection()
    assert transport.connection.address == second
    for _ in range(121):
        transport.now += 1000.0
        transport.deliver(b"\n")
        transport.follower.check_timeouts(transport.now)
    transport.establish_connection()
    assert transport.connection.address == first


def test_followers_of_a_failed_address_are_distributed_over_the_remaining_ones():
    addresses = [f"10.0.0.{n}:7700" for n in range(4)]
    orders = [address_order(f"gateway-{n:04d}", addresses) for n in range(500)]
    failed = addresses[0]
    first_choices = [order[0] for order in orders]
    second_choices = [order[1] for order in orders if order[0] == failed]
    assert all(90 < first_choices.count(address) < 160 for address in addresses)
    assert all(second_choices.count(address) > 20 for address in addresses[1:])
