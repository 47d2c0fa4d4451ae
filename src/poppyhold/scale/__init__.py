"""The scale tool: load runs with real controllers, simulated workers and stand-ins for external services.

`python -m poppyhold.scale` is the program. Controllers load nothing of this package.
"""
