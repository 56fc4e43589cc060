__all__ = ['ttypes', 'constants', 'FleetLink']
