"""Which address a follower connects to. Times in ms."""

from configuration_helpers import LoopbackTransport

from granitedock.configuration.follower_timing import address_order


def test_the_first_address_is_tried_again_after_a_while(writer):
    first, second = address_order("g1", ["a", "b"])
    transport = LoopbackTransport({"a": writer, "b": writer})
    transport.start()
    transport.cut()
    transport.up()
    assert transport.connection.address == second
    for _ in range(121):
        transport.now += 1000.0
        transport.hears(b"\n")
        transport.follower.check_timeouts(transport.now)
    transport.up()
    assert transport.connection.address == first


def test_followers_of_a_lost_address_spread_over_the_rest():
    addresses = [f"10.0.0.{n}:7700" for n in range(4)]
    orders = [address_order(f"gateway-{n:04d}", addresses) for n in range(500)]
    lost = addresses[0]
    firsts = [order[0] for order in orders]
    seconds = [order[1] for order in orders if order[0] == lost]
    assert all(90 < firsts.count(address) < 160 for address in addresses)
    assert all(seconds.count(address) > 20 for address in addresses[1:])
