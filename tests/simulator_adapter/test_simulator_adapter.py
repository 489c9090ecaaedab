"""The simulator adapter: endpoint lists, restarts and malformed input."""

import io
import json

from granitedock.policy.types import Outcome
from granitedock.simulator_adapter.batches import BatchProcessor, run
from granitedock.simulator_adapter.codec import OUTCOMES
from granitedock.simulator_adapter.session import Session

SETTINGS = (
    '{"Me":0,"Balancers":1,"Lanes":[{"Name":"r","Repeat":"safe","TargetMs":1000,"GiveUpMs":4000,"Worth":1}],'
    '"Tariffs":[{"Name":"p","Refill":0,"MostAtOnce":0}],"Allowed":{"MaxAttempts":3,"SecondCopies":false},'
    '"Safety":{"ColdFrom":0.2,"ColdMs":1000,"OverloadFactor":2,"TipAfterMs":1000},"Specifics":null,"New":1}'
)
HELLO = (
    f'["Hello",7,{SETTINGS}],["List",0,[[null,null,null,"h:1",null,null,"IN"]]],["RosterChange",0,"SAVED",1]'
)
REQUEST = '["Req",%d,"%s","p","00000000000000a1",4000.0,null,null,null,null]'


def batch(*events):
    line = '{"MomentMs":5000.5,"groups":[{"Who":"gateway-0","happened":[' + ",".join(events) + "]}]}"
    return line.encode()


def replies(processor, *events):
    return json.loads(processor.process(batch(*events)))


def test_a_request_is_sent_to_the_listed_host_and_stop_and_hello_in_one_batch_restart_the_instance():
    """Guards against a restarted instance that keeps requests or pending commands from before the Stop."""
    processor = BatchProcessor()
    assert replies(processor, HELLO, REQUEST % (1, "r")) == {
        "groups": [{"Who": "gateway-0", "cmds": [["Send", 1, 0, "h:1"]]}]
    }
    restarted = replies(processor, REQUEST % (2, "r"), '["Stop"]', HELLO, '["Aborted",1]', REQUEST % (3, "r"))
    assert restarted["groups"][0]["cmds"] == [["Send", 3, 0, "h:1"]]


def test_an_unknown_request_class_aborts_the_instance_and_a_malformed_batch_ends_the_run():
    """Guards against an invalid event that ends the process, and a malformed line that is skipped.

    An event that the adapter cannot interpret aborts its instance alone. A line that is not a batch ends the
    run with exit code 1, and an empty batch has an empty reply.
    """
    commands = replies(BatchProcessor(), HELLO, REQUEST % (1, "x"))["groups"][0]["cmds"]
    assert [command[0] for command in commands] == ["BailOut"]
    assert run(io.BytesIO(b"not json\n"), io.BytesIO()) == 1
    output = io.BytesIO()
    assert run(io.BytesIO(b'{"MomentMs":1,"groups":[]}\n'), output) == 0
    assert output.getvalue() == b'{"groups":[]}\n'


def test_a_keyed_request_is_not_repeated_in_the_cell_of_a_host_that_has_restarted_in_another():
    """Guards against a restarted host that changes the cell and the health of the process before it."""
    keyed = {"Name": "k", "Repeat": "keyed", "TargetMs": 1000, "GiveUpMs": 4000, "Worth": 1}
    settings = json.loads(SETTINGS) | {"Lanes": [keyed | {"WindowMs": 2000, "DedupScope": "cell"}]}
    session = Session(5000.0, 7, settings)
    session.on_endpoint_list("FULL", [[1.0, "m", 0.0, "h:1", "z", 0, "IN"]])
    session.on_request(1, "k", "p", "a1", 4000.0)
    assert [command[0] for command in session.take_commands()] == ["Send"]
    others = [[1.0, "m", 0.0, f"h:{number}", "z", number % 2, "IN"] for number in (2, 3)]
    session.on_endpoint_list("INCREMENTAL", [[1.0, "m", 4900.0, "h:1", "z", 1, "IN"], *others])
    reset = next(code for code, outcome in OUTCOMES.items() if outcome is Outcome.RESET)
    session.on_attempt_finished(1, "h:1", 0, 50.0, False, 0, reset)
    assert [command[0] for command in session.take_commands()] == ["DropRequest"]
    assert session.hosts["h:1"].health.failures == 0
    assert sorted(session.addresses.values()) == ["h:1", "h:2", "h:3"]
