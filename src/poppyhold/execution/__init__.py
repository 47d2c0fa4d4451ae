"""What runs where: attempts, gangs, commands to workers, completions."""
