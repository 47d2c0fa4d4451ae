"""One controller node: its threads, its interfaces to users, workers, peers and cloud, its decision core."""
