"""A fake etcd: ranges, watches, leases and compaction as the v3 API specifies them, with faults on demand."""
