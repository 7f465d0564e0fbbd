"""etcd v3 as the source of the list. Imported only when `[etcd]` in the operators' file is switched on."""
