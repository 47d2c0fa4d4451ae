"""Jobs, machines and attempts of the decision core, and the context that its parts share."""
