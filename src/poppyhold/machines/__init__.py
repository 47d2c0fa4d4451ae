"""Which machines there are: renting, watching and returning them."""
