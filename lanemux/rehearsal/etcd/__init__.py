"""A stand-in etcd: what the v3 API promises of ranges, watches, leases and compaction, and faults on demand."""
