"""Which machines there are: launching, watching and deleting them."""
