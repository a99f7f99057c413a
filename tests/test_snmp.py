"""SNMP agent of the running program, queried with the pysnmp client."""

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

from tests.network_harness import ROOT as REPOSITORY
from tests.network_harness import Hub, SipMessage, answer_call, running_network

ROUTER_OID = "1.3.6.1.4.1.8072.9999.9999.3868"
M3UA_CONFIG = """
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
    """Sends SNMP requests to one agent; a reply is (error status, [(oid, value)])."""

    def __init__(self, port: int, community: str = "lakes") -> None:
        self.port, self.community = port, community

    def request(self, command: Any, *oids: Any, bulk_limits: tuple[int, ...] = ()) -> Reply:
        async def run() -> Reply:
            target = await UdpTransportTarget.create(("127.0.0.1", self.port), timeout=2, retries=2)
            objects = [o if isinstance(o, ObjectType) else ObjectType(ObjectIdentity(o)) for o in oids]
            engine = SnmpEngine()
            error, status, _, varbinds = await command(
                engine,
                CommunityData(self.community, mpModel=1),
                target,
                ContextData(),
                *bulk_limits,
                *objects,
            )
            engine.close_dispatcher()
            return error or int(status), [(str(oid), value.prettyPrint()) for oid, value in varbinds]

        return asyncio.run(run())


@pytest.fixture
def ports() -> tuple[int, int]:
    with socket.create_server(("127.0.0.1", 0)) as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        udp.bind(("127.0.0.1", 0))
        return tcp.getsockname()[1], udp.getsockname()[1]


def test_the_agent_reports_calls_outcomes_hubs_and_links(tmp_path: Path, ports: tuple[int, int]) -> None:
    def answer_or_refuse(message: SipMessage) -> None:
        if message.ref.endswith("1"):
            answer_call(message)
        else:
            message.answer(503, X_Note="throttled")

    conf = tmp_path / "extras.toml"
    conf.write_text(
        f'[snmp]\nlisten = "127.0.0.1:{ports[1]}"\ncommunity = "lakes"\n' + M3UA_CONFIG % ports[0]
    )
    hub = Hub("h1", 1, answer_or_refuse)
    with running_network(tmp_path, Hub("h0", 0), hub, args=(str(conf),)) as harness:
        caller, client = harness.caller(), Client(ports[1])
        caller.send_new("0" * 15 + "1")
        caller.receive("up", "0" * 15 + "1")
        caller.send_new("0" * 15 + "2")
        caller.receive("down", "0" * 15 + "2")

        scalars = {1: "2", 2: "1", 3: "0", 4: "0", 5: "1", 6: "2"}
        status, varbinds = client.request(get_cmd, *(f"{ROUTER_OID}.1.{column}.0" for column in scalars))
        assert status == 0 and [value for _, value in varbinds] == list(scalars.values())
        assert client.request(next_cmd, f"{ROUTER_OID}.2") == (0, [(f"{ROUTER_OID}.2.1.2.42", "1")])

        walked: dict[str, str] = {}
        last_oid = ROUTER_OID
        for _ in range(10):  # the walk needs five responses at most and ends with endOfMibView
            status, varbinds = client.request(bulk_cmd, last_oid, bulk_limits=(0, 20))
            assert status == 0
            walked |= {name: value for name, value in varbinds if "No more" not in value}
            if last_oid == varbinds[-1][0]:
                break
            last_oid = varbinds[-1][0]
        assert walked[f"{ROUTER_OID}.3.1.2.1"] == "stands" and walked[f"{ROUTER_OID}.3.1.3.1"] == "1"
        assert walked[f"{ROUTER_OID}.3.1.2.3"] == "full" and walked[f"{ROUTER_OID}.3.1.3.3"] == "1"
        hubs = {value: name.rsplit(".", 1)[1] for name, value in walked.items() if ".4.1.2." in name}
        assert (
            walked[f"{ROUTER_OID}.4.1.3.{hubs['h1']}"] == "1"
            and walked[f"{ROUTER_OID}.4.1.5.{hubs['h1']}"] == "1"
        )
        assert [walked[f"{ROUTER_OID}.5.1.{column}.200"] for column in (2, 3, 4)] == ["1", "8", "0"]

        harness.journal.publish(hub, status="Terminating")
        harness.wait_for(lambda: "Terminating" in harness.log_text())
        assert client.request(get_cmd, f"{ROUTER_OID}.4.1.4.{hubs['h1']}")[1][0][1] == "2"

        ((_, value),) = client.request(get_cmd, f"{ROUTER_OID}.1.99.0")[1]
        assert "No Such" in value
        set_request = ObjectType(ObjectIdentity(f"{ROUTER_OID}.1.1.0"), Integer32(5))
        assert client.request(set_cmd, set_request)[0] == 17  # notWritable
        with socket.socket(type=socket.SOCK_DGRAM) as raw:
            raw.sendto(b"\x30\x03garbage", ("127.0.0.1", ports[1]))
        assert "timeout" in str(Client(ports[1], "other").request(get_cmd, f"{ROUTER_OID}.1.1.0")[0]).lower()
        assert client.request(get_cmd, f"{ROUTER_OID}.1.1.0") == (0, [(f"{ROUTER_OID}.1.1.0", "2")])


def test_no_snmp_library_is_loaded_while_the_agent_is_off() -> None:
    code = "import sys, barleywheel.__main__; sys.exit(any('snmp' in m for m in sys.modules if '.' not in m))"
    assert subprocess.run([sys.executable, "-c", code], cwd=REPOSITORY, check=False).returncode == 0
