"""One controller: its threads, its interfaces to users, workers, peers and cloud, and its decision core."""
