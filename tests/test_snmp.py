"""The agent in the real program, asked by a client library."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from pysnmp.hlapi.v3arch.asyncio import (
    CommunityData,
    ContextData,
    ObjectIdentity,
    ObjectType,
    SnmpEngine,
    UdpTransportTarget,
    bulk_cmd,
    get_cmd,
    next_cmd,
    set_cmd,
)
from pysnmp.proto.rfc1902 import Integer32

from tests.network_harness import ROOT as ROOT_DIR
from tests.network_harness import Hub, SipMessage, answer_call, running_network

ROOT = "1.3.6.1.4.1.8072.9999.9999.3868"
M3UA = """
[m3ua]
listen = "127.0.0.1:%d"
point_code = 100
numbers = { 7 = 1 }
classes = { voice = { category = 10, patience_ms = 3000 } }
[[m3ua.peer]]
point_code = 200
circuits = "1-8"
"""


Reply = tuple[Any, list[tuple[str, str]]]


class Client:
    """SNMP questions to one agent; answers are (error status, [(oid, value)])."""

    def __init__(self, port: int, community: str = "lakes") -> None:
        self.port, self.community = port, community

    def ask(self, command: Any, *names: Any, before: tuple[int, ...] = ()) -> Reply:
        async def run() -> Reply:
            target = await UdpTransportTarget.create(("127.0.0.1", self.port), timeout=2, retries=2)
            objects = [n if isinstance(n, ObjectType) else ObjectType(ObjectIdentity(n)) for n in names]
            engine = SnmpEngine()
            fault, status, _, found = await command(
                engine, CommunityData(self.community, mpModel=1), target, ContextData(), *before, *objects
            )
            engine.close_dispatcher()
            return fault or int(status), [(str(name), value.prettyPrint()) for name, value in found]

        return asyncio.run(run())


@pytest.fixture
def ports() -> tuple[int, int]:
    with socket.create_server(("127.0.0.1", 0)) as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        udp.bind(("127.0.0.1", 0))
        return tcp.getsockname()[1], udp.getsockname()[1]


def test_the_agent_tells_calls_outcomes_hubs_and_links(tmp_path: Path, ports: tuple[int, int]) -> None:
    def answers(message: SipMessage) -> None:
        if message.ref.endswith("1"):
            answer_call(message)
        else:
            message.answer(503, X_Note="throttled")

    conf = tmp_path / "extras.toml"
    conf.write_text(f'[snmp]\nlisten = "127.0.0.1:{ports[1]}"\ncommunity = "lakes"\n' + M3UA % ports[0])
    hub = Hub("h1", 1, answers)
    with running_network(tmp_path, Hub("h0", 0), hub, args=(str(conf),)) as harness:
        caller, client = harness.caller(), Client(ports[1])
        caller.send_new("0" * 15 + "1")
        caller.receive("up", "0" * 15 + "1")
        caller.send_new("0" * 15 + "2")
        caller.receive("down", "0" * 15 + "2")

        scalars = {1: "2", 2: "1", 3: "0", 4: "0", 5: "1", 6: "2"}
        status, found = client.ask(get_cmd, *(f"{ROOT}.1.{column}.0" for column in scalars))
        assert status == 0 and [value for _, value in found] == list(scalars.values())
        assert client.ask(next_cmd, f"{ROOT}.2") == (0, [(f"{ROOT}.2.1.2.42", "1")])

        walked: dict[str, str] = {}
        at = ROOT
        for _ in range(10):  # five answers' worth at the most; the end is told by its own value
            status, found = client.ask(bulk_cmd, at, before=(0, 20))
            assert status == 0
            walked |= {name: value for name, value in found if "No more" not in value}
            if at == found[-1][0]:
                break
            at = found[-1][0]
        assert walked[f"{ROOT}.3.1.2.1"] == "stands" and walked[f"{ROOT}.3.1.3.1"] == "1"
        assert walked[f"{ROOT}.3.1.2.3"] == "full" and walked[f"{ROOT}.3.1.3.3"] == "1"
        hubs = {value: name.rsplit(".", 1)[1] for name, value in walked.items() if ".4.1.2." in name}
        assert walked[f"{ROOT}.4.1.3.{hubs['h1']}"] == "1" and walked[f"{ROOT}.4.1.5.{hubs['h1']}"] == "1"
        assert [walked[f"{ROOT}.5.1.{column}.200"] for column in (2, 3, 4)] == ["1", "8", "0"]

        harness.journal.publish(hub, status="Terminating")
        harness.wait_for(lambda: "Terminating" in harness.log_text())
        assert client.ask(get_cmd, f"{ROOT}.4.1.4.{hubs['h1']}")[1][0][1] == "2"

        ((_, value),) = client.ask(get_cmd, f"{ROOT}.1.99.0")[1]
        assert "No Such" in value
        written = ObjectType(ObjectIdentity(f"{ROOT}.1.1.0"), Integer32(5))
        assert client.ask(set_cmd, written)[0] == 17  # notWritable
        with socket.socket(type=socket.SOCK_DGRAM) as raw:
            raw.sendto(b"\x30\x03garbage", ("127.0.0.1", ports[1]))
        assert "timeout" in str(Client(ports[1], "other").ask(get_cmd, f"{ROOT}.1.1.0")[0]).lower()
        assert client.ask(get_cmd, f"{ROOT}.1.1.0") == (0, [(f"{ROOT}.1.1.0", "2")])


def test_nothing_of_snmp_is_loaded_while_it_is_off() -> None:
    code = "import sys, barleywheel.__main__; sys.exit(any('snmp' in m for m in sys.modules if '.' not in m))"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT_DIR, check=False).returncode == 0
