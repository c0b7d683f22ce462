"""The daemon ``burdockquayd`` and the operators' command ``burdockquay``."""
