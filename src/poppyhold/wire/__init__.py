"""HTTP, the message types of the external protocols, and framed messages between controllers."""
