"""The simulator adapter: endpoint lists, restarts and malformed input."""

import io
import json

from granitedock.simulator_adapter.batches import BatchProcessor, run

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
