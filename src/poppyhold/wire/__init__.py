"""HTTP, the outside protocols and the frames between controllers."""
