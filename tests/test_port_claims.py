"""Ports of VMs, while several test processes run on one machine."""

import concurrent.futures
import multiprocessing

import fleet as fleets
import port_claims
import pytest
import relay_processes

FEW_PORTS = (10000, 10060)
MANY_PORTS = (10000, 11000)
# Looks at ports after which a search counts as one without an end.
MANY_LOOKS = 100_000


def _is_granted_elsewhere(port):
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
        return pool.submit(port_claims.claim, port).result()


def test_a_port_of_a_killed_vm_goes_to_another_test_process():
    port = fleets.free_port()
    assert not _is_granted_elsewhere(port)


def test_a_port_is_free_again_when_its_process_has_ended():
    port = fleets.free_port() + 1
    while not _is_granted_elsewhere(port):
        port += 1
    assert port_claims.claim(port)


# An entry VM never started: the port of its readiness was also one of the
# ports between VMs.
def test_no_port_of_a_vm_is_in_its_range_of_ports_between_vms(
    monkeypatch, tmp_path
):
    # Whatever other tests have taken, all ports are free.
    monkeypatch.setattr(fleets, '_is_unused', lambda port: True)
    monkeypatch.setattr(port_claims, 'claim', lambda port: True)
    monkeypatch.setattr(fleets, 'PORT_RANGE', FEW_PORTS)
    for _ in range(50):
        monkeypatch.setattr(fleets, '_allocated_ports', set())
        ports = relay_processes.RelayProcesses(tmp_path).ports
        between_vms = range(
            ports.first, ports.first + relay_processes.PORTS_BETWEEN_VMS
        )
        others = {ports.callers, ports.ready, ports.control}
        assert others.isdisjoint(between_vms)


# Ports that were drawn in vain counted as returned: none were left.
def test_a_range_that_is_not_free_takes_no_port(monkeypatch):
    used = set(range(FEW_PORTS[0] + 1, FEW_PORTS[1], 3))
    used.discard(FEW_PORTS[0] + 31)
    monkeypatch.setattr(fleets, '_is_unused', lambda port: port not in used)
    monkeypatch.setattr(port_claims, 'claim', lambda port: True)
    monkeypatch.setattr(fleets, 'PORT_RANGE', FEW_PORTS)
    monkeypatch.setattr(fleets, '_allocated_ports', set())
    ports = fleets.free_ports(4)
    assert used.isdisjoint(ports)
    assert fleets._allocated_ports == set(ports)


# Test processes claimed ports in vain until none found a range any more, and
# looked for one for ever.
def test_a_range_that_is_claimed_elsewhere_is_given_back(monkeypatch):
    elsewhere = set(range(FEW_PORTS[0] + 1, FEW_PORTS[1], 3))
    elsewhere.discard(FEW_PORTS[0] + 31)
    claimed = set()

    def claim(port):
        claimed.update({port} - elsewhere)
        return port not in elsewhere

    monkeypatch.setattr(fleets, '_is_unused', lambda port: True)
    monkeypatch.setattr(port_claims, 'claim', claim)
    monkeypatch.setattr(port_claims, 'release', claimed.discard, raising=False)
    monkeypatch.setattr(fleets, 'PORT_RANGE', FEW_PORTS)
    monkeypatch.setattr(fleets, '_allocated_ports', set())
    ports = fleets.free_ports(4)
    assert elsewhere.isdisjoint(ports)
    assert claimed == set(ports)


@pytest.mark.parametrize('count', [1, 4])
def test_a_search_for_ports_ends_although_others_have_claimed_all(
    monkeypatch, count
):
    monkeypatch.setattr(fleets, '_is_unused', _look(lambda port: True))
    monkeypatch.setattr(port_claims, 'claim', lambda port: False)
    monkeypatch.setattr(fleets, 'PORT_RANGE', FEW_PORTS)
    monkeypatch.setattr(fleets, '_allocated_ports', set())
    assert len(fleets.free_ports(count)) == count


@pytest.mark.parametrize('count', [1, 4])
def test_a_search_for_ports_fails_if_none_is_free(monkeypatch, count):
    monkeypatch.setattr(fleets, '_is_unused', _look(lambda port: port % 4))
    monkeypatch.setattr(fleets, 'PORT_RANGE', FEW_PORTS)
    taken = {port for port in range(*FEW_PORTS) if port % 4}
    monkeypatch.setattr(fleets, '_allocated_ports', taken)
    with pytest.raises(fleets.NoPortsLeft):
        fleets.free_ports(count)


# Ports that were drawn one by one lay scattered, and no range was left
# between them.
def test_a_range_is_found_after_half_of_the_ports_were_drawn(monkeypatch):
    monkeypatch.setattr(fleets, '_is_unused', lambda port: True)
    monkeypatch.setattr(port_claims, 'claim', lambda port: True)
    monkeypatch.setattr(fleets, 'PORT_RANGE', MANY_PORTS)
    monkeypatch.setattr(fleets, '_allocated_ports', set())
    for _ in range(len(range(*MANY_PORTS)) // 2):
        fleets.free_port()
    assert len(fleets.free_ports(16)) == 16


def test_a_claim_that_is_released_goes_to_another_test_process():
    port = fleets.free_port()
    port_claims.release(port)
    assert _is_granted_elsewhere(port)


def _look(is_unused):
    """Return a function that fails instead of being called for ever."""
    looks = iter(range(MANY_LOOKS))

    def look(port):
        assert next(looks, None) is not None, 'the search has no end'
        return is_unused(port)

    return look
