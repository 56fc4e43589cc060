"""Network addresses of the form ``host:port``."""

import dataclasses
import ipaddress


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self):
        """Return ``host:port``, with brackets around IPv6."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def is_loopback(self):
        """Whether the address stays on the machine."""
        return ipaddress.ip_address(self.host).is_loopback


def parse_address(text):
    """Parse ``host:port``.

    Raises:
        ValueError: the text is no IP address with a port.
    """
    host, separator, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f'{text!r} is not of the form IP:PORT')
    return Address(str(ipaddress.ip_address(host)), int(port))
