"""Examples of small functions of the service: what each gives for what."""


def test_service_clients_read():
    from granitedock.service.client_protocol import Limits, read
    from granitedock.service.resp import command

    text = b"c=r,t=p,d=480,units=2,spread=3,first=1"
    words = [b"API.READ", b"00000000000000a1", b"9b1f03aa5c7e2d41", text]
    limits = Limits.told({"settings": {"Balancers": 4, "Lanes": []}})
    ask = read(words, command(*words).split(b"\r\n")[:-1], limits)
    assert (ask.request_class, ask.customer, ask.left_ms, ask.subset_size, ask.head, ask.tail) == (
        "r",
        161,
        480.0,
        3,
        b"c=r,t=p,d=",
        b",units=2,spread=3,first=1",
    )


def test_service_counter_amount():
    from granitedock.service.counter_protocol import amount

    assert (amount(2.0), amount(-2.5), amount(1e-09), amount(0.1 + 0.2)) == (b"2", b"-2.5", b"0", b"0.3")


def test_service_discovery_listing():
    from granitedock.service.discovery_protocol import EndpointStatus, Entry, listing

    instance = {"instanceId": "s-1", "hostPort": "127.0.0.1:1", "lifecycle": "terminating"}
    listed = listing({"generation": 4, "reset": True, "instances": [instance]})
    assert listed.entries[0] == Entry("s-1", "127.0.0.1:1", 1.0, "", "", 0, 0.0, EndpointStatus.DRAINING)


def test_service_hosts_figures():
    from granitedock.service.host_protocol import figures

    assert (figures(b"used=86,cost=3", 4.0), figures(None, 4.0), figures(86, 4.0), figures(b"?", 4.0)) == (
        (3.0, 86),
        (0.0, 0),
        (0.0, 86),
        (0.0, 0),
    )
    assert [figures(b"used=%b,cost=%b" % (it, it), 4.0) for it in (b"nan", b"inf", b"1_0", b"-1", b"9")] == [
        (0.0, 0),
        (0.0, 0),
        (0.0, 0),
        (0.0, 0),
        (0.0, 9),
    ]


def test_service_resp_bulk():
    from granitedock.service.resp import bulk

    assert bulk(b"ab") == b"$2\r\nab\r\n"


def test_service_resp_command():
    from granitedock.service.resp import command

    assert command(b"PING") == b"*1\r\n$4\r\nPING\r\n"


def test_service_resp_length():
    from granitedock.service.resp import length

    assert (length(b"16"), length(b"0"), length(b"016"), length(b"+1"), length(b"")) == (16, 0, -1, -1, -1)


def test_service_resp_whole():
    from granitedock.service.resp import whole

    assert whole([b"$2", b"ab"]) == b"$2\r\nab\r\n"
