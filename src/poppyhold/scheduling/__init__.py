"""Which task starts when and where: admission by OASiS, placement, dispatch."""
