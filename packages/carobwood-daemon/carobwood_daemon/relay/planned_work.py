"""Fields of log lines that tell which planned work is under way on a VM."""

from carobwood import clocks


def log_fields(gate, configuration_store):
    """Return the fields.

    Args:
        gate: the ``RequestGate``, which knows the stage of a stop.
        configuration_store: the ``ConfigurationStore``.

    Returns:
        A dictionary: version of the configuration in force (0: none), seconds
        since it came into force (None: never), and the stage of a stop.
    """
    configuration = configuration_store.configuration
    changed_at = configuration_store.changed_at
    in_force = None
    if changed_at is not None:
        in_force = round(clocks.now() - changed_at, 3)
    return {
        'configuration': configuration.version if configuration else 0,
        'in_force': in_force,
        'stage': gate.stage,
    }
