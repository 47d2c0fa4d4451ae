"""The scale run: a load and experiment tool. Real controllers against stand-ins of all
else, with thousands of simulated workers.

`python -m poppyhold.scale` is the program. Nothing here is loaded by a controller.
"""
