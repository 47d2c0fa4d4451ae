"""The scale run, a load and experiment tool: real controllers, stand-ins of all else, simulated workers.

`python -m poppyhold.scale` is the program. Nothing here is loaded by a controller.
"""
