"""One controller: its threads, its edges to the outside, and its decision core."""
