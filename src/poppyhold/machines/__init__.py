"""The fleet's machines: launching, monitoring and deleting them."""
