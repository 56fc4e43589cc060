"""Network addresses of the form ``host:port``."""

import dataclasses
import ipaddress


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a port.

    Attributes:
        host: IPv4 or IPv6 address, without brackets.
        port: port number.
    """

    host: str
    port: int

    def __str__(self):
        """Return ``host:port``, with an IPv6 address in brackets."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def is_loopback(self):
        """Whether the host is a loopback address."""
        return ipaddress.ip_address(self.host).is_loopback


def parse_address(text):
    """Parse ``host:port`` and return the ``Address``.

    Raises:
        ValueError: the text is not an IP address with a port.
    """
    host, separator, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f'{text!r} is not of the form IP:PORT')
    return Address(str(ipaddress.ip_address(host)), int(port))
