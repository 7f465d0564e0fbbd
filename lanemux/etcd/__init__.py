"""etcd v3 as the source of the upstream list. Imported only if the operators' file has an `[etcd]` section."""
