"""Leader election, lease delegation, and the messages between the controllers of a cell."""
